#ifndef CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_
#define CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// A gateway refused or failed a request of this account and route. The replica
/// that is told records the minute.
struct RefusalReport {
  ClientAccountId account;
  /// Name of the route, which is the request's class.
  ClassId class_id;
  /// The first reason, an `ErrorKind`.
  uint8_t kind = 0;

  friend auto operator<=>(const RefusalReport&, const RefusalReport&) = default;
  MSGPACK_DEFINE(account, class_id, kind)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_
