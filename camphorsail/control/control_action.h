#ifndef CAMPHORSAIL_CONTROL_CONTROL_ACTION_H_
#define CAMPHORSAIL_CONTROL_CONTROL_ACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/consensus/write_batch.h"
#include "camphorsail/control/command_result.h"
#include "camphorsail/control/control_message.h"
#include "camphorsail/control/control_snapshot.h"
#include "camphorsail/limits/limit_types.h"
#include "camphorsail/orders/order_types.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// Every request admitted from now on must read these settings. Comes before
/// the messages of the same step, because one of them may confirm to a voter
/// that this VM applies them.
struct PublishSettingsAction {
  Ref<ControlSnapshot> snapshot;
};

/// Requests may be admitted and sent while the clock is before this time.
struct PublishLeaseAction {
  MonoTime valid_until;
};

/// Send to the control path of another VM. May be lost, delayed or duplicated.
struct ControlSendAction {
  VmId to;
  ControlMessage message;
};

/// Make the batch durable, then report `ControlWriteCompletedEvent`.
struct ControlWriteAction {
  uint64_t write_id = 0;
  WriteBatch batch;
};

/// Answer to a `SubmitEvent`: the command's result; `kQuorumLost` when it was
/// not sent to a leader, `kOutcomeUnknown` when it may still be committed.
struct SubmissionAnsweredAction {
  uint64_t submission_id = 0;
  Expected<CommandResult> result;
};

/// Answer to a `LedgerOpenEvent`. After an error the request must not be sent;
/// it was not run.
struct LedgerOpenAnsweredAction {
  LedgerKey key;
  RequestId request;
  AttemptNumber attempt;
  Expected<LedgerOpenResult> result;
};

/// Answer to a `ReadEvent`: the state is current, or `kQuorumLost`.
struct ReadReadyAction {
  uint64_t read_id = 0;
  Expected<void> result;
};

/// The VM's minutes are marked and its registration is closed, or that was not
/// possible in time.
struct LeaveCompletedAction {
  bool recorded = false;
};

/// Call an engine: send an order, or ask for its state when there is none.
/// Answered by `EngineCallResultEvent`. Never repeated by the shell.
struct EngineCallAction {
  BackendServerId server;
  Incarnation incarnation;
  /// Fencing token that the call carries.
  FencingToken token;
  std::optional<OrderIntent> order;
  /// The request must not be written to the connection at or after this time.
  MonoTime send_before;
  /// The connection is closed at this time, answered or not.
  MonoTime deadline;
};

/// Shares of account limits for this VM's request path.
struct PublishLimitsAction {
  std::vector<LimitGrant> grants;
  /// When this VM sent the report that the grants answer; their leases count
  /// from there.
  MonoTime report_sent_at;
};

/// The gateways must follow this table from now on.
struct PublishRoutingAction {
  Ref<SharedRoutingTable> table;
};

/// Something worth a log line and a timeline event.
struct ControlNoteAction {
  std::string kind;
  std::vector<std::pair<std::string, std::string>> inputs;
};

using ControlAction = std::variant<PublishSettingsAction,
                                   PublishLeaseAction,
                                   ControlSendAction,
                                   ControlWriteAction,
                                   SubmissionAnsweredAction,
                                   LedgerOpenAnsweredAction,
                                   ReadReadyAction,
                                   LeaveCompletedAction,
                                   EngineCallAction,
                                   ControlNoteAction,
                                   PublishLimitsAction,
                                   PublishRoutingAction>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_ACTION_H_
