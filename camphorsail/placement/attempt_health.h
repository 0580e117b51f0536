#ifndef CAMPHORSAIL_PLACEMENT_ATTEMPT_HEALTH_H_
#define CAMPHORSAIL_PLACEMENT_ATTEMPT_HEALTH_H_

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Passive health checking and circuit breaking for one backend server. Judges
/// the server by the attempts of this gateway: how many of them fail, how long
/// they take, and whether the server can be reached at all. There are no active
/// health checks, because a server may pass them and still fail requests. Not
/// thread-safe; used on the event loop's thread only.
class AttemptHealth {
 public:
  /// Records an attempt that was answered.
  void OnSuccess(MonoTime now);
  /// Records an attempt that failed or was not answered in time. Several in a
  /// row suspend the server.
  void OnFailure(MonoTime now);
  /// Records an attempt that could not reach the server, which suspends the
  /// server at once.
  void OnUnreachable(MonoTime now);
  /// Records the response time of an attempt.
  /// @param ratio Time to the start of the answer, divided by the time that is
  /// typical for such a request.
  void OnResponseTime(double ratio, MonoTime now);

  /// @return False while the server is suspended and gets no requests. The
  /// suspension ends after a while, so that new attempts show whether the
  /// server has recovered.
  bool AcceptsRequests(MonoTime now) const { return now >= suspended_until_; }
  /// @return Moving average of the fraction of attempts that fail. It decays
  /// with time, so that the server is tried again.
  double FailureRate(MonoTime now) const;
  /// @return Moving average of the ratios passed to `OnResponseTime`; 1 unless
  /// the server is clearly slower than others.
  double Slowdown(MonoTime now) const;

 private:
  /// Suspends the server for twice as long as the last time, up to a maximum;
  /// after a success the time starts from the shortest again. Has no effect
  /// while the server is suspended.
  void Suspend(MonoTime now);

  double failure_rate_ = 0;
  double slowdown_ = 1;
  MonoTime outcome_at_;
  MonoTime response_time_at_;
  int consecutive_failures_ = 0;
  int suspensions_ = 0;
  MonoTime suspended_until_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ATTEMPT_HEALTH_H_
