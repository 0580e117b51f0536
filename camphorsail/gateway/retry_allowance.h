#ifndef CAMPHORSAIL_GATEWAY_RETRY_ALLOWANCE_H_
#define CAMPHORSAIL_GATEWAY_RETRY_ALLOWANCE_H_

#include <deque>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Settings of a `RetryAllowance`.
struct RetryAllowanceSettings {
  /// Retries allowed in any window, as a part of the requests in it.
  double ratio = 0.1;
  /// Retries allowed in any window besides.
  double slack = 10;
  absl::Duration window = absl::Seconds(10);
  /// Part of the allowance that is used, because the gateways' windows do not
  /// begin at the same time.
  double use = 0.8;
};

/// This gateway's part of the retries that all gateways together may send to
/// one service, counted over a sliding window. Retries beyond it would multiply
/// the load of a service in trouble. Belongs to the loop's thread.
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryAllowanceSettings& settings)
      : settings_(settings) {}

  void SetSettings(const RetryAllowanceSettings& settings) {
    settings_ = settings;
  }

  /// Counts a request's first attempt.
  void OnRequest(MonoTime now);
  /// @param gateways Gateways that share the slack, this one included.
  /// @return True, and counts the retry, when one more is allowed.
  bool TryRetry(int gateways, MonoTime now);
  /// @return Retries that are allowed now.
  double Left(int gateways, MonoTime now);

 private:
  void Expire(MonoTime now);

  RetryAllowanceSettings settings_;
  std::deque<MonoTime> requests_;
  std::deque<MonoTime> retries_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_RETRY_ALLOWANCE_H_
