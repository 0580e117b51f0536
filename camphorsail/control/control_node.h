#ifndef CAMPHORSAIL_CONTROL_CONTROL_NODE_H_
#define CAMPHORSAIL_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/accounting/minute_clock.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/consensus/replica.h"
#include "camphorsail/control/command_proposer.h"
#include "camphorsail/control/command_submitter.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/control/control_event.h"
#include "camphorsail/control/control_node_settings.h"
#include "camphorsail/control/control_state.h"
#include "camphorsail/control/ledger_batcher.h"
#include "camphorsail/control/limit_exchange.h"
#include "camphorsail/control/order_driver.h"
#include "camphorsail/control/read_tracker.h"
#include "camphorsail/control/refusal_recorder.h"
#include "camphorsail/control/vm_monitor.h"
#include "camphorsail/duties/duty_driver.h"

namespace camphorsail {

/// The control path of one VM. Holds its replica of the log, the replicated
/// state, and the commands, reads and accounting records of this VM that are
/// not yet committed or answered. Publishes settings, the routing table, shares
/// of account limits and the admission lease to the request path.
///
/// A deterministic state machine without I/O, threads or clocks: `Step` takes
/// one event and returns the actions that the caller carries out. Owned by the
/// control thread of the daemon, or by a test that runs many of them.
class ControlNode {
 public:
  /// @param settings Valid settings.
  /// @param state The durable state that storage recovered.
  /// @param seed Seed of the random numbers; must differ between all starts of
  ///     all VMs.
  /// @param now Monotonic start time.
  /// @param wall_now Wall clock at the start.
  /// @return The node; `kSettingsInvalid`, or `kDataCorrupt` when the recovered
  ///     state is not valid.
  static Expected<std::unique_ptr<ControlNode>> Create(
      ControlNodeSettings settings,
      DurableState state,
      uint64_t seed,
      MonoTime now,
      absl::Time wall_now);

  /// Handles one event.
  /// @param now Monotonic time of the event.
  /// @param wall_now Wall clock at the event.
  /// @param actions The actions to carry out are appended here, in the order in
  ///     which they must be carried out.
  void Step(const ControlEvent& event,
            MonoTime now,
            absl::Time wall_now,
            std::vector<ControlAction>* actions);

  const Replica& replica() const { return *replica_; }
  const ControlState& state() const { return state_; }
  /// @return When the admission lease ends; the zero time when this VM holds no
  ///     lease.
  MonoTime lease_valid_until() const { return published_lease_; }
  /// @return True when the replicated state records this process, and not an
  ///     earlier one of this VM, as active.
  bool registered() const { return registered_; }
  MinuteIndex minute() const { return minute_clock_.minute(); }
  /// @return When the last message from `vm` was received; nothing when this
  ///     process has received none.
  std::optional<MonoTime> LastMessageTime(const VmId& vm) const;

 private:
  /// The part of this class that submitted a command and gets its answer.
  enum class SubmissionKind : uint8_t {
    /// Submitted for a `SubmitEvent`; with id 0, the last marks of a leaving
    /// VM, whose answer is ignored.
    kExternal,
    kLedger,
    kAccounting,
    kRegistration,
    kLostVm,
    kLeave,
    kOrder,
    kDuty,
  };
  struct Submission {
    SubmissionKind kind = SubmissionKind::kExternal;
    /// Submission id of the `SubmitEvent`, id of the ledger batch, or id of the
    /// order proposal; zero when the kind needs no id.
    uint64_t id = 0;
  };
  /// The VM that asked this one, as the leader, for a read index, and the token
  /// of its request.
  struct ReadOrigin {
    VmId vm;
    uint64_t token = 0;
  };

  ControlNode(ControlNodeSettings settings,
              std::unique_ptr<Replica> replica,
              ControlState state,
              LogIndex applied,
              uint64_t seed,
              MonoTime now,
              absl::Time wall_now);

  void HandleMessage(const ControlMessageEvent& event);
  void HandleForwarded(const VmId& from, const ForwardedCommand& command);
  void HandleForwarded(const VmId& from, const ForwardedRead& read);
  void HandleLimits(const LimitDemandReport& report);
  void HandleLimits(const LimitGrantBatch& batch);

  /// Submits the commands that are due, sends commands and reads to the leader,
  /// first sends and resends alike, and answers what has expired or is ready.
  void Advance();
  /// Emits a `ControlTimelineAction` when the leader, the term or the
  /// membership has changed.
  void ReportReplicaChanges();
  /// Submits a registration unless this process is registered or leaves.
  void RegisterIfNeeded();
  /// Marks the minute that has ended and submits refused minutes and marks.
  void SubmitAccounting();
  /// Submits the waiting ledger operations.
  void SubmitLedgerBatches();
  /// On the leader, declares one VM lost that has been silent for too long.
  void DeclareLostVm();
  /// Sends the commands and reads that are due to the leader.
  void SendDueForwards();
  /// Continues a leave: submits the last marks and the departure, or gives up.
  void ContinueLeave();
  /// Lets the leader plan and send engine orders.
  void PlanOrders();
  void HandleOrders(OrderDriver::Output output);
  /// Lets the holder of the duties agree on reports and call the provider.
  void PlanDuties();
  void HandleDuties(DutyDriver::Output output);
  /// @return When a quorum last confirmed this VM as the leader, if it may act
  /// on behalf of the group: its state contains all committed entries, and it
  /// does not leave.
  std::optional<MonoTime> ActingLeaderContact() const;

  void StepReplica(const ReplicaEvent& event);
  void HandleReplicaAction(const SendAction& action);
  void HandleReplicaAction(const WriteAction& action);
  void HandleReplicaAction(const ApplyAction& action);
  void HandleReplicaAction(const RestoreSnapshotAction& action);
  void HandleReplicaAction(const CreateSnapshotAction& action);
  void HandleReplicaAction(const ProposalOutcomeAction& action);
  void HandleReplicaAction(const ReadIndexAction& action);
  void HandleReplicaAction(const ProvisionalTailChangedAction& action);

  /// Encodes a command of this VM and queues it for the leader.
  /// @return The command's token.
  uint64_t Submit(SubmissionKind kind,
                  uint64_t id,
                  CommandBody body,
                  absl::Duration timeout);
  void OnAnswer(const CommandSubmitter::Answer& answer);
  void OnLedgerAnswer(uint64_t batch_id, const Expected<CommandResult>& result);
  void SendReplies(std::vector<CommandProposer::Reply> replies);
  void Send(const VmId& to, ControlMessage message);
  void AddTimelineEvent(
      std::string kind,
      std::vector<std::pair<std::string, std::string>> inputs);

  VmRegistration MakeRegistration(VmState state) const;
  void UpdateRegistered();
  /// @return True when the replicated state lists this VM as active and
  ///     therefore expects marks for its minutes. The entry is of this process,
  ///     or of an earlier process of this VM that has neither left nor been
  ///     declared lost. In the second case the minutes until this process is
  ///     registered stay unmarked, and reports show that no mark covers them.
  bool IsRecordedActive() const;
  /// Appends, where they have changed, the settings, the routing table and the
  /// admission lease. The step's other actions must follow, because a message
  /// among them may confirm to a voter that this VM applies the settings.
  void Publish(std::vector<ControlAction>* actions);

  ControlNodeSettings settings_;
  std::unique_ptr<Replica> replica_;
  ControlState state_;
  /// Last applied log entry, also of kinds that carry no command.
  LogIndex applied_;
  MinuteClock minute_clock_;
  CommandSubmitter submitter_;
  CommandProposer proposer_;
  LedgerBatcher ledger_;
  RefusalRecorder recorder_;
  ReadTracker reads_;
  VmMonitor monitor_;
  OrderDriver orders_;
  DutyDriver duties_;
  LimitExchange limits_;

  /// Times passed to the `Step` call in progress.
  MonoTime now_;
  absl::Time wall_now_;
  /// Actions of the `Step` call in progress, without those of `Publish`.
  std::vector<ControlAction> step_actions_;

  /// Incarnation under which this process registers. Raised when the replicated
  /// state already holds an equal or larger one.
  Incarnation incarnation_;
  bool registered_ = false;
  bool registration_in_flight_ = false;
  bool lost_vm_in_flight_ = false;
  /// When this VM last became the leader; nothing while it is not the leader.
  std::optional<MonoTime> leader_since_;
  /// When an unfinished leave is given up; set by `LeaveEvent`.
  std::optional<MonoTime> leave_deadline_;
  bool leave_submitted_ = false;
  bool left_ = false;

  /// The values that `ReportReplicaChanges` reported last.
  VmId reported_leader_;
  TermNumber reported_term_;
  Membership reported_membership_;
  uint64_t reported_quarantine_ = 0;
  DutyToken reported_duty_token_;

  bool settings_changed_ = true;
  MonoTime published_lease_;
  Ref<SharedRoutingTable> published_routing_;
  /// Version of the departures that were last published.
  uint64_t published_departures_ = 0;

  uint64_t next_token_;
  std::map<uint64_t, Submission> submissions_;
  uint64_t next_read_ = 1;
  std::map<uint64_t, ReadOrigin> read_origins_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_NODE_H_
