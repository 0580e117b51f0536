#ifndef CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_
#define CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_

#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// @return The VM's monotonic clock, which also counts the time that the VM was
/// suspended, so that a lease ends while its holder sleeps. Only the I/O layer
/// reads it.
MonoTime MonotonicNow();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_MONOTONIC_CLOCK_H_
