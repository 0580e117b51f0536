#ifndef CAMPHORSAIL_CONTROL_CONTROL_EVENT_H_
#define CAMPHORSAIL_CONTROL_CONTROL_EVENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/control/command.h"
#include "camphorsail/control/control_message.h"
#include "camphorsail/duties/duty_inputs.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/limits/limit_types.h"
#include "camphorsail/orders/order_planner.h"

namespace camphorsail {

/// Lets the node act on the passage of time. Must be delivered every 10 to
/// 50 ms.
struct ControlTickEvent {};

/// A message from the control path of another VM was received.
struct ControlMessageEvent {
  VmId from;
  ControlMessage message;
};

/// The `ControlWriteAction` with this id is durable.
struct ControlWriteCompletedEvent {
  uint64_t write_id = 0;
};

/// Commits a command. Answered by `SubmissionAnsweredAction`. The command may
/// enter the log more than once, so applying it again must change nothing:
/// settings changes are recognised by their change id, ledger records by
/// request and attempt, and accounting records form a set.
struct SubmitEvent {
  /// Chosen by the sender of the event; unique in this process. Zero when no
  /// answer is wanted.
  uint64_t submission_id = 0;
  CommandBody body;
};

/// Asks for permission to send a non-idempotent request to a backend server.
/// Answered by `LedgerOpenAnsweredAction`.
struct LedgerOpenEvent {
  LedgerOpen open;
};

/// Records the outcome of a non-idempotent request. The node retries until the
/// outcome is recorded; there is no answer.
struct LedgerCloseEvent {
  LedgerClose close;
};

/// Waits until this VM's state contains everything committed before the event.
/// Answered by `ReadAnsweredAction`.
struct ReadEvent {
  uint64_t read_id = 0;
};

/// A request of the account, in this class, was refused or failed.
struct RefusalEvent {
  ClientAccountId account;
  ClassId class_id;
  ErrorKind reason = ErrorKind::kInternal;
};

/// The demand of this VM's request path for shares of the account limits. The
/// node reports it to the leader at once; the leader's answer leads to a
/// `PublishLimitsAction`.
struct LimitDemandEvent {
  std::vector<LimitDemand> demands;
};

/// The process is about to stop. The node marks the minutes up to now and
/// records that the VM has left. Answered by `LeaveCompletedAction`.
struct LeaveEvent {};

/// The engines that are available now. Replaces the set of the previous event.
struct EnginesEvent {
  std::map<BackendServerId, EngineInfo> engines;
};

/// The outcome of an `EngineCallAction`.
struct EngineCallResultEvent {
  BackendServerId server;
  FencingToken token;
  /// True when the call sent an order, false when it asked for the state.
  bool is_order = false;
  /// True when the call has ended, so that it certainly causes no further work
  /// on the engine: the engine answered, whether it accepted the call or not,
  /// or the request was not written to the connection at all.
  bool has_ended = false;
  /// The engine's state, when the answer contains it.
  std::optional<EngineObservation> observation;
};

/// What the duties ask for now. Replaces the inputs of the previous event.
struct DutyInputsEvent {
  DutyInputs inputs;
};

/// The outcome of a `ProviderCallAction`.
struct ProviderCallEndedEvent {
  uint64_t call_id = 0;
  ProviderOutcome outcome = ProviderOutcome::kUnknown;
};

using ControlEvent = std::variant<ControlTickEvent,
                                  ControlMessageEvent,
                                  ControlWriteCompletedEvent,
                                  SubmitEvent,
                                  LedgerOpenEvent,
                                  LedgerCloseEvent,
                                  ReadEvent,
                                  RefusalEvent,
                                  LeaveEvent,
                                  EnginesEvent,
                                  EngineCallResultEvent,
                                  LimitDemandEvent,
                                  DutyInputsEvent,
                                  ProviderCallEndedEvent>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_EVENT_H_
