#ifndef CAMPHORSAIL_GATEWAY_ATTEMPT_HEALTH_H_
#define CAMPHORSAIL_GATEWAY_ATTEMPT_HEALTH_H_

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Judges a backend server by the attempts of one gateway: the part that fails,
/// the time that they take, and whether it can be reached at all. Health checks
/// are not asked for, because a server may fail requests while it passes them.
/// Belongs to the loop's thread.
class AttemptHealth {
 public:
  /// An attempt was answered.
  void OnSuccess(MonoTime now);
  /// An attempt failed, or was not answered in time.
  void OnFailure(MonoTime now);
  /// The server could not be reached.
  void OnUnreachable(MonoTime now);
  /// @param ratio Time that the answer took over the time that it takes at an
  /// ordinary server.
  void OnTime(double ratio, MonoTime now);

  /// @return False while the server gets no requests; one is let through now
  /// and then to find out whether it is back.
  bool IsOpen(MonoTime now) const { return now >= closed_until_; }
  /// @return Part of the attempts that fail, smoothed; it falls with time, so
  /// that the server is tried again.
  double FailureRate(MonoTime now) const;
  /// @return Smoothed ratio of its times to those of an ordinary server; 1
  /// unless it is clearly slower.
  double Slowdown(MonoTime now) const;

 private:
  void Close(MonoTime now);

  double failure_rate_ = 0;
  double slowdown_ = 1;
  MonoTime judged_at_;
  MonoTime timed_at_;
  int consecutive_failures_ = 0;
  int closures_ = 0;
  MonoTime closed_until_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_ATTEMPT_HEALTH_H_
