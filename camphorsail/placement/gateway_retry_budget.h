#ifndef CAMPHORSAIL_PLACEMENT_GATEWAY_RETRY_BUDGET_H_
#define CAMPHORSAIL_PLACEMENT_GATEWAY_RETRY_BUDGET_H_

#include <deque>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Settings of a `GatewayRetryBudget`.
struct GatewayRetryBudgetSettings {
  /// Retries allowed in any window, as a fraction of the requests in it.
  double ratio = 0.1;
  /// Additional retries allowed in any window, whatever the number of requests;
  /// shared by all gateways.
  double slack = 10;
  /// Length of the sliding window.
  absl::Duration window = absl::Seconds(10);
  /// Fraction of its budget that the gateway uses. Less than 1, because the
  /// windows of the gateways do not begin at the same time.
  double used_fraction = 0.8;
};

/// Retry budget: limits the retries that this gateway may send to one service
/// to its share of the retries that all gateways together are allowed, counted
/// over a sliding window. Unlimited retries would multiply the load of a
/// service that is already failing. Not thread-safe; used on the event loop's
/// thread only.
class GatewayRetryBudget {
 public:
  explicit GatewayRetryBudget(const GatewayRetryBudgetSettings& settings)
      : settings_(settings) {}

  void SetSettings(const GatewayRetryBudgetSettings& settings) {
    settings_ = settings;
  }

  /// Counts the first attempt of a request.
  void OnRequest(MonoTime now);
  /// Counts a retry if one more is allowed.
  /// @param gateways Number of gateways that share the additional retries, this
  /// one included.
  /// @return True when the retry may be sent.
  bool TryRetry(int gateways, MonoTime now);
  /// @return Retries that are allowed now.
  double RetriesLeft(int gateways, MonoTime now);

 private:
  /// Drops the times that have left the window.
  void Expire(MonoTime now);

  GatewayRetryBudgetSettings settings_;
  /// Times of the requests and of the retries in the window, oldest first.
  std::deque<MonoTime> requests_;
  std::deque<MonoTime> retries_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_GATEWAY_RETRY_BUDGET_H_
