#ifndef CAMPHORSAIL_LIMITS_TOKEN_BUCKET_H_
#define CAMPHORSAIL_LIMITS_TOKEN_BUCKET_H_

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// A token bucket: limits a rate and allows a burst of one second. Its units
/// are requests or output tokens. The level may become negative when a cost is
/// higher than estimated; nothing can then be taken until the bucket has
/// refilled. Not thread-safe.
class TokenBucket {
 public:
  /// Changes the rate from `now` on.
  /// @param rate Units per second, not negative; infinity for no limit.
  void SetRate(double rate, MonoTime now);

  /// @return True when `amount` can be taken now. An amount above the burst can
  /// be taken from a full bucket.
  bool CanTake(double amount, MonoTime now);
  /// Takes `amount` without a check. A negative amount is put back.
  void Take(double amount, MonoTime now);
  /// @return Time until `CanTake` returns true; infinite at rate zero.
  absl::Duration TimeUntil(double amount, MonoTime now);

 private:
  /// Raises the level by the rate for the time since the last call.
  void Refill(MonoTime now);
  /// @return The largest level.
  double Burst() const;
  /// @return The level that is needed to take `amount`.
  double NeededLevel(double amount) const;

  double rate_ = 0;
  double level_ = 0;
  MonoTime refilled_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_TOKEN_BUCKET_H_
