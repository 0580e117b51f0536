#ifndef CAMPHORSAIL_DUTIES_DUTY_COMMANDS_H_
#define CAMPHORSAIL_DUTIES_DUTY_COMMANDS_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/scaling/server_order.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// Fencing token of the calls to the provider. Grows with each claim of the
/// duties and never repeats.
using DutyToken = StrongId<struct DutyTokenTag, uint64_t>;

/// Command by which the leader of a term becomes the holder of the duties.
struct DutyClaim {
  VmId vm;
  /// The process of the VM.
  Incarnation process;
  TermNumber term;

  friend bool operator==(const DutyClaim&, const DutyClaim&) = default;
  MSGPACK_DEFINE(vm, process, term)
};

/// Command that fixes the content of a usage report before it is first sent.
/// Only the first one for a window takes effect.
struct UsageAgreement {
  UsageWindow window;

  MSGPACK_DEFINE(window)
};

/// Command that records that the provider has accepted a usage report.
struct UsageSettlement {
  UsageWindowNumber number;

  MSGPACK_DEFINE(number)
};

/// Command that records that the provider has accepted a server order.
struct OrderSettlement {
  ServerOrder order;
  /// Token and id of the call. The settlement of an earlier call does not
  /// replace that of a later one, whichever is committed first.
  DutyToken token;
  uint64_t call_id = 0;

  MSGPACK_DEFINE(order, token, call_id)
};

/// Command of an operator that stops or resumes the orders of a service.
struct OrderHold {
  ModelId service;
  bool on_hold = false;
  std::string operator_name;

  MSGPACK_DEFINE(service, on_hold, operator_name)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_DUTY_COMMANDS_H_
