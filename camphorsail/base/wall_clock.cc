#include "camphorsail/base/wall_clock.h"

#include <ctime>

namespace camphorsail {

absl::Time WallNow() {
  timespec time;
  clock_gettime(CLOCK_REALTIME, &time);
  return absl::TimeFromTimespec(time);
}

}  // namespace camphorsail
