#ifndef CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_
#define CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Report to a replica that a gateway refused a request of an account on a
/// route, or could not complete it. The replica records the current minute as
/// one in which a request of this account and route was refused, see
/// `RefusedMinutes`.
struct RefusalReport {
  ClientAccountId account;
  /// Name of the route, which serves as the class of the request.
  ClassId class_id;
  /// Reason of the first refusal, an `ErrorKind`.
  uint8_t kind = 0;

  friend auto operator<=>(const RefusalReport&, const RefusalReport&) = default;
  MSGPACK_DEFINE(account, class_id, kind)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_REFUSAL_REPORT_H_
