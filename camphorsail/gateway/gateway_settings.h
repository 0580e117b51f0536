#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_SETTINGS_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>

#include "camphorsail/base/network_address.h"
#include "camphorsail/gateway/answer_budget_settings.h"
#include "camphorsail/gateway/backend_connection_pool.h"
#include "camphorsail/gateway/caller_budget.h"
#include "camphorsail/placement/gateway_retry_budget.h"
#include "camphorsail/placement/placement_settings.h"
#include "camphorsail/usage/usage_settings.h"

namespace camphorsail {

/// Settings of a `Gateway`.
struct GatewaySettings {
  /// Address for the requests of callers.
  NetworkAddress listen;
  /// Address for readiness probes and `/metrics`.
  NetworkAddress ready_listen;
  /// Additional address for `/metrics`; port 0 for none.
  NetworkAddress metrics_listen;
  CallerBudgetSettings callers;
  AnswerBudgetSettings answers;
  BackendConnectionPoolSettings pool;
  PlacementSettings placement;
  GatewayRetryBudgetSettings retries;
  UsageSettings usage;
  /// True when servers that start or recover get a pace, see `ServerPace`.
  bool paces_servers = true;
  /// Seed of the random choices.
  uint64_t seed = 1;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_SETTINGS_H_
