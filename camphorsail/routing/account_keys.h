#ifndef CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_
#define CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_

#include <optional>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// One client account of a routing table: its API keys and its priority rank.
struct AccountKeys {
  ClientAccountId account;
  std::vector<std::string> api_keys;
  /// Priority rank of the account's requests; 0 is the highest. Requests are
  /// ordered by this rank first and then by the rank of their route. An account
  /// without a rank counts as rank 0.
  std::optional<int> rank;
  /// Share of the account in an overloaded service, relative to the other
  /// accounts; positive.
  double weight = 1;

  friend bool operator==(const AccountKeys&, const AccountKeys&) = default;
  MSGPACK_DEFINE(account, api_keys, rank, weight)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_
