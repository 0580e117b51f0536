#include "camphorsail/peer/shared_hybrid_clock.h"

#include <utility>

#include "camphorsail/base/wall_clock.h"

namespace camphorsail {

SharedHybridClock::SharedHybridClock()
    : wall_clock_([] { return WallNow(); }) {}

SharedHybridClock::SharedHybridClock(WallClock wall_clock)
    : wall_clock_(std::move(wall_clock)) {}

HybridTimestamp SharedHybridClock::Now() {
  return Now(wall_clock_());
}

HybridTimestamp SharedHybridClock::Now(absl::Time wall_now) {
  absl::MutexLock lock(&mutex_);
  return clock_.Now(wall_now);
}

bool SharedHybridClock::Observe(const HybridTimestamp& remote) {
  if (absl::FromUnixMicros(remote.wall_micros) > wall_clock_() + kMaxLead) {
    return false;
  }
  absl::MutexLock lock(&mutex_);
  clock_.Observe(remote);
  return true;
}

}  // namespace camphorsail
