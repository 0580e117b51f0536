#include "camphorsail/placement/gateway_retry_budget.h"

#include <algorithm>

namespace camphorsail {

void GatewayRetryBudget::OnRequest(MonoTime now) {
  Expire(now);
  requests_.push_back(now);
}

bool GatewayRetryBudget::TryRetry(int gateways, MonoTime now) {
  if (RetriesLeft(gateways, now) < 1) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

double GatewayRetryBudget::RetriesLeft(int gateways, MonoTime now) {
  Expire(now);
  const double allowed =
      settings_.used_fraction *
      (settings_.ratio * static_cast<double>(requests_.size()) +
       settings_.slack / std::max(1, gateways));
  return std::max(0.0, allowed - static_cast<double>(retries_.size()));
}

void GatewayRetryBudget::Expire(MonoTime now) {
  const MonoTime oldest = now - settings_.window;
  while (!requests_.empty() && requests_.front() < oldest) {
    requests_.pop_front();
  }
  while (!retries_.empty() && retries_.front() < oldest) {
    retries_.pop_front();
  }
}

}  // namespace camphorsail
