#ifndef CAMPHORSAIL_SCHEDULING_GUARANTEED_SHARE_H_
#define CAMPHORSAIL_SCHEDULING_GUARANTEED_SHARE_H_

#include <algorithm>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Credit of one class for its guaranteed share of a pool. The credit grows at
/// the rate of the share and shrinks with all work accepted for the class, so
/// that a class has credit only while it gets less than its share. Guarded by
/// the lock of the scheduler's shard.
class GuaranteedShare {
 public:
  /// Bounds the credit in both directions to the share of this many seconds. A
  /// class that has received more than its share gets credit again after at
  /// most this time.
  static constexpr double kWindowSeconds = 10;

  /// Adds the credit for the time since the last call.
  /// @param guaranteed_slots Slot-seconds per second that the class is
  /// guaranteed.
  void Advance(double guaranteed_slots, MonoTime now) {
    const double seconds = absl::ToDoubleSeconds(now - advanced_at_);
    advanced_at_ = now;
    const double limit = guaranteed_slots * kWindowSeconds;
    credit_ = std::min(limit, credit_ + guaranteed_slots * seconds);
    credit_ = std::max(-limit, credit_);
  }
  /// Takes the work of an accepted request from the credit.
  /// @param work Slot-seconds planned for the request.
  void Charge(double work) { credit_ -= work; }
  /// Sets the credit to its lower bound, because another VM accepts requests of
  /// the class without use of its guaranteed share. The class has no credit for
  /// the next `kWindowSeconds`.
  void SetToMinimum(double guaranteed_slots) {
    credit_ = -guaranteed_slots * kWindowSeconds;
  }
  /// @param work Expected slot-seconds of the next request.
  /// @return True when the credit is at least twice the work, because an answer
  /// may take much longer than expected. For work beyond the upper bound of the
  /// credit, 90% of the bound is enough.
  bool Covers(double work, double guaranteed_slots) const {
    return credit_ > 0 &&
           credit_ >=
               std::min(2 * work, guaranteed_slots * kWindowSeconds * 0.9);
  }

 private:
  MonoTime advanced_at_;
  /// Slot-seconds.
  double credit_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_GUARANTEED_SHARE_H_
