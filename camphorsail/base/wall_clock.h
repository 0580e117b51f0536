#ifndef CAMPHORSAIL_BASE_WALL_CLOCK_H_
#define CAMPHORSAIL_BASE_WALL_CLOCK_H_

#include "absl/time/time.h"

namespace camphorsail {

/// @return The VM's wall clock, read from the system each time: the library's
/// own clock extrapolates between readings and follows a step late. Only the
/// I/O layer reads it.
absl::Time WallNow();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_WALL_CLOCK_H_
