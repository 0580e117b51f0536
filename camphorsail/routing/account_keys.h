#ifndef CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_
#define CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_

#include <optional>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// The API keys of one client account.
struct AccountKeys {
  ClientAccountId account;
  std::vector<std::string> api_keys;
  /// Rank of the account's requests, compared before that of their routes; 0 is
  /// the highest.
  std::optional<int> rank;

  friend bool operator==(const AccountKeys&, const AccountKeys&) = default;
  MSGPACK_DEFINE(account, api_keys, rank)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ACCOUNT_KEYS_H_
