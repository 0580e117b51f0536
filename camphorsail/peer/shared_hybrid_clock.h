#ifndef CAMPHORSAIL_PEER_SHARED_HYBRID_CLOCK_H_
#define CAMPHORSAIL_PEER_SHARED_HYBRID_CLOCK_H_

#include <functional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/hybrid_clock.h"

namespace camphorsail {

/// The hybrid clock of one process, shared by its threads. Owned by `main`,
/// which keeps it alive longer than every user. Thread-safe.
class SharedHybridClock {
 public:
  using WallClock = std::function<absl::Time()>;

  /// Reads the system's wall clock.
  SharedHybridClock();
  /// @param wall_clock Gives the wall time; for tests with skewed clocks.
  explicit SharedHybridClock(WallClock wall_clock);

  /// @return A timestamp above every timestamp returned or observed before.
  HybridTimestamp Now();

  /// As above, for a caller that has already read the wall clock.
  HybridTimestamp Now(absl::Time wall_now);

  /// Moves the clock past a timestamp that another process sent.
  ///
  /// @return False when `remote` is more than `kMaxLead` ahead of the wall
  /// clock; it is then ignored, because one VM with a wrong wall clock would
  /// otherwise move the clocks of the whole fleet permanently.
  bool Observe(const HybridTimestamp& remote);

  static constexpr absl::Duration kMaxLead = absl::Hours(24);

 private:
  const WallClock wall_clock_;
  absl::Mutex mutex_;
  HybridClock clock_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_SHARED_HYBRID_CLOCK_H_
