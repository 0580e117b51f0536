#ifndef CAMPHORSAIL_USAGE_USAGE_WINDOW_H_
#define CAMPHORSAIL_USAGE_USAGE_WINDOW_H_

#include <cstdint>
#include <map>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Number of a usage window: the window begins that many window lengths after
/// the Unix epoch, UTC.
using UsageWindowNumber = StrongId<struct UsageWindowNumberTag, int64_t>;

/// The requests of each account that began to run in one window.
struct UsageWindow {
  UsageWindowNumber number;
  /// Number of requests by account; accounts without requests are left out.
  std::map<ClientAccountId, uint64_t> requests;

  friend bool operator==(const UsageWindow&, const UsageWindow&) = default;
  MSGPACK_DEFINE(number, requests)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_WINDOW_H_
