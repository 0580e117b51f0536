#ifndef CAMPHORSAIL_SCHEDULING_RETRY_BUDGET_H_
#define CAMPHORSAIL_SCHEDULING_RETRY_BUDGET_H_

#include <algorithm>

namespace camphorsail {

/// Limits the retries of one class to a fraction of its requests, so that
/// retries cannot multiply an overload. Guarded by the lock of the scheduler's
/// shard.
class RetryBudget {
 public:
  /// Initial and largest budget. The crash of one engine makes up to a full
  /// batch of requests of one class fail at once.
  static constexpr double kMaximum = 32;

  /// Adds to the budget for a new request.
  /// @param ratio Retries allowed per request.
  void OnRequest(double ratio) {
    tokens_ = std::min(kMaximum, tokens_ + ratio);
  }
  /// Takes one retry from the budget.
  /// @return False when the budget is used up.
  bool TrySpend() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaximum;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_RETRY_BUDGET_H_
