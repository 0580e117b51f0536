#include "camphorsail/base/hybrid_clock.h"

namespace camphorsail {

HybridTimestamp HybridClock::Now(absl::Time wall_now) {
  const int64_t wall_micros = absl::ToUnixMicros(wall_now);
  if (wall_micros > last_.wall_micros) {
    last_ = {wall_micros, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

void HybridClock::Observe(const HybridTimestamp& remote) {
  if (remote > last_) {
    last_ = remote;
  }
}

}  // namespace camphorsail
