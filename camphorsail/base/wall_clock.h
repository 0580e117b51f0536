#ifndef CAMPHORSAIL_BASE_WALL_CLOCK_H_
#define CAMPHORSAIL_BASE_WALL_CLOCK_H_

#include "absl/time/time.h"

namespace camphorsail {

/// @return The current time of the VM's wall clock. It is read from the system
/// at each call, because `absl::Now` extrapolates between readings and follows
/// a clock step late. Only the I/O layer calls this function.
absl::Time WallNow();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_WALL_CLOCK_H_
