#ifndef CAMPHORSAIL_USAGE_USAGE_COUNT_H_
#define CAMPHORSAIL_USAGE_USAGE_COUNT_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// Requests of an account that began to run in a window, as counted by one
/// gateway process so far. A later count replaces an earlier one.
struct UsageCount {
  UsageWindowNumber window;
  ClientAccountId account;
  uint64_t requests = 0;

  friend bool operator==(const UsageCount&, const UsageCount&) = default;
  MSGPACK_DEFINE(window, account, requests)
};

/// Counts of one gateway process.
struct GatewayUsage {
  VmId gateway;
  /// Identifies the start of the gateway's process.
  uint64_t process = 0;
  std::vector<UsageCount> counts;

  friend bool operator==(const GatewayUsage&, const GatewayUsage&) = default;
  MSGPACK_DEFINE(gateway, process, counts)
};

/// Message between a replica and the leader: counts that the replica forwards,
/// or the leader's acknowledgement of them.
struct UsageForward {
  /// Term of the leader. A leader that has restarted leads in another term, so
  /// that it gets all counts again.
  TermNumber term;
  /// Position of the latest forwarded change in the order in which the replica
  /// took them, see `UsageCollector`.
  uint64_t sequence = 0;
  bool is_acknowledgement = false;
  std::vector<GatewayUsage> usages;

  friend bool operator==(const UsageForward&, const UsageForward&) = default;
  MSGPACK_DEFINE(term, sequence, is_acknowledgement, usages)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_COUNT_H_
