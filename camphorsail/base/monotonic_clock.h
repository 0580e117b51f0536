#ifndef CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_
#define CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_

#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// @return The current time of the VM's monotonic clock. It includes time in
/// which the VM was suspended, so that a lease expires while its holder is
/// suspended. Only the I/O layer calls this function.
MonoTime MonotonicNow();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_
