#ifndef CAMPHORSAIL_SCHEDULING_HEALTH_TRACKER_H_
#define CAMPHORSAIL_SCHEDULING_HEALTH_TRACKER_H_

#include "camphorsail/base/mono_time.h"
#include "camphorsail/scheduling/circuit_breaker.h"
#include "camphorsail/scheduling/scheduler_settings.h"

namespace camphorsail {

/// Judges the health of one backend server by its speed relative to the pool
/// and by its failures. A server that is much slower than the pool or fails
/// repeatedly is an outlier: it gets one probe request at a time until it has
/// recovered. Owned by a `ServerState`; guarded by the lock of the scheduler's
/// shard.
class HealthTracker {
 public:
  /// A server is an outlier when it is slower than the pool by this factor.
  static constexpr double kOutlierSlowdown = 1.8;
  /// An outlier gets full traffic again when its slowdown is below this factor.
  static constexpr double kRecoveredSlowdown = 1.4;
  /// This many consecutive failures make a server an outlier.
  static constexpr int kMaxConsecutiveFailures = 3;
  /// First pause between probes of a failing server. It doubles with each
  /// further failure up to `kMaxBackoff`.
  static constexpr absl::Duration kFirstBackoff = absl::Seconds(1);
  static constexpr absl::Duration kMaxBackoff = absl::Seconds(8);

  explicit HealthTracker(HealthVariant variant);

  /// Records one speed observation.
  /// @param ratio Observed time per token, divided by the pool's median at the
  /// same load; for a service call, its duration divided by its expected
  /// duration.
  void OnTimeRatio(double ratio);
  /// Records how an attempt ended.
  /// @param success False for an error or a timeout.
  void OnResult(bool success, MonoTime now);
  /// @param slots Number of requests that the server may hold when healthy.
  /// @return Number of requests that the server may hold at `now`.
  int SlotLimit(int slots, MonoTime now) const;
  /// Called when the server is considered for a request.
  /// @return False when the circuit breaker rejects the request.
  bool Allow() { return breaker_.Allow(); }
  /// @return Smoothed ratio of the server's time to the pool's usual time.
  double slowdown() const { return slowdown_; }
  bool is_outlier() const { return outlier_; }

 private:
  HealthVariant variant_;
  CircuitBreaker breaker_;
  /// Smoothed ratio of the server's time to the pool's usual time.
  double slowdown_ = 1;
  int samples_ = 0;
  int consecutive_failures_ = 0;
  bool outlier_ = false;
  /// No probe request is sent before this time.
  MonoTime probe_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_HEALTH_TRACKER_H_
