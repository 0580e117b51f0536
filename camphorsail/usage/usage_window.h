#ifndef CAMPHORSAIL_USAGE_USAGE_WINDOW_H_
#define CAMPHORSAIL_USAGE_USAGE_WINDOW_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Number of a usage window: the window begins that many window lengths after
/// the Unix epoch, UTC.
using UsageWindowNumber = StrongId<struct UsageWindowNumberTag, int64_t>;

/// Requests of one account.
struct AccountUsage {
  ClientAccountId account;
  uint64_t requests = 0;

  friend bool operator==(const AccountUsage&, const AccountUsage&) = default;
  MSGPACK_DEFINE(account, requests)
};

/// The requests of each account that began to run in one window.
struct UsageWindow {
  UsageWindowNumber number;
  /// Ordered by account; accounts without requests are left out.
  std::vector<AccountUsage> accounts;

  friend bool operator==(const UsageWindow&, const UsageWindow&) = default;
  MSGPACK_DEFINE(number, accounts)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_WINDOW_H_
