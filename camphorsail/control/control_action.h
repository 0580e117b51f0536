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
#include "camphorsail/control/effective_settings.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/limits/limit_types.h"
#include "camphorsail/membership/server_departure.h"
#include "camphorsail/orders/order_types.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// Every request admitted from now on must use these settings. The action comes
/// before the messages of the same step, because a message may confirm to a
/// voter that this VM applies the settings.
struct PublishSettingsAction {
  Ref<EffectiveSettings> settings;
};

/// Requests may be admitted and sent to backend servers while the monotonic
/// clock is before this time.
struct PublishLeaseAction {
  MonoTime valid_until;
};

/// Send a message to the control path of another VM. The message may be lost,
/// delayed or duplicated.
struct ControlSendAction {
  VmId to;
  ControlMessage message;
};

/// Make the batch durable, then report `ControlWriteCompletedEvent`.
struct ControlWriteAction {
  uint64_t write_id = 0;
  WriteBatch batch;
};

/// Answer to a `SubmitEvent`: the command's result, `kQuorumLost` when the
/// command was not sent to a leader, or `kOutcomeUnknown` when it was sent and
/// may still be committed.
struct SubmissionAnsweredAction {
  uint64_t submission_id = 0;
  Expected<CommandResult> result;
};

/// Answer to a `LedgerOpenEvent`. After an error the request must not be sent,
/// and the client is told that it was not run.
struct LedgerOpenAnsweredAction {
  LedgerKey key;
  RequestId request;
  AttemptNumber attempt;
  Expected<LedgerOpenResult> result;
};

/// Answer to a `ReadEvent`: success when the state of this VM contains
/// everything committed before the event, `kQuorumLost` when that could not be
/// confirmed in time.
struct ReadAnsweredAction {
  uint64_t read_id = 0;
  Expected<void> result;
};

/// Answer to a `LeaveEvent`; the process may stop.
struct LeaveCompletedAction {
  /// True when the VM's minutes are marked and its departure is recorded, or
  /// when this process was not registered; false when that was not possible in
  /// time.
  bool recorded = false;
};

/// Call an engine: send it an order, or ask for its state when `order` is not
/// set. Answered by an `EngineCallResultEvent`. The code that carries out the
/// actions must not repeat the call.
struct EngineCallAction {
  BackendServerId server;
  Incarnation incarnation;
  /// Fencing token in the call.
  FencingToken token;
  std::optional<OrderIntent> order;
  /// The request must not be written to the connection at or after this time.
  MonoTime send_before;
  /// The connection is closed at this time, whether the engine has answered or
  /// not.
  MonoTime deadline;
};

/// Make a call to the provider. Answered by a `ProviderCallEndedEvent`. The
/// code that carries out the actions must not repeat the call.
struct ProviderCallAction {
  ProviderCall call;
};

/// This VM's shares of the account limits, for its request path.
struct PublishLimitsAction {
  std::vector<LimitGrant> grants;
  /// When this VM sent the demand report that the grants answer. The limit
  /// leases of the grants start at this time.
  MonoTime report_sent_at;
};

/// The gateway of this VM must route by this table from now on.
struct PublishRoutingAction {
  Ref<SharedRoutingTable> table;
};

/// Backend servers that are leaving, since the previous action of this type.
/// The first one has all that are recorded.
struct PublishDeparturesAction {
  std::vector<DepartureRecord> departures;
};

/// Write a log line and a timeline event.
struct ControlTimelineAction {
  /// Kind of the event, such as `leader_changed`.
  std::string kind;
  /// Names and values of the event's inputs: the facts that it states.
  std::vector<std::pair<std::string, std::string>> inputs;
};

using ControlAction = std::variant<PublishSettingsAction,
                                   PublishLeaseAction,
                                   ControlSendAction,
                                   ControlWriteAction,
                                   SubmissionAnsweredAction,
                                   LedgerOpenAnsweredAction,
                                   ReadAnsweredAction,
                                   LeaveCompletedAction,
                                   EngineCallAction,
                                   ControlTimelineAction,
                                   PublishLimitsAction,
                                   PublishRoutingAction,
                                   ProviderCallAction,
                                   PublishDeparturesAction>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_ACTION_H_
