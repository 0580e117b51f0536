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
#include "camphorsail/control/command_leader.h"
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

namespace camphorsail {

/// The control path of one VM: its replica of the log, the replicated state,
/// and this VM's commands, reads and accounting records on their way into the
/// log. Publishes settings and the admission lease to the request path.
///
/// A step machine without I/O, threads or clocks. Owned by the control thread
/// of the daemon, or by a test that hosts many of them.
class ControlNode {
 public:
  /// @param settings Valid settings.
  /// @param state What storage recovered.
  /// @param seed Different at each start of any VM.
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
  /// @param actions The actions to carry out, in this order, are appended here.
  void Step(const ControlEvent& event,
            MonoTime now,
            absl::Time wall_now,
            std::vector<ControlAction>* actions);

  const Replica& replica() const { return *replica_; }
  const ControlState& state() const { return state_; }
  /// @return End of the permission to admit; the clock's origin without one.
  MonoTime lease_valid_until() const { return published_lease_; }
  /// @return True when this process is recorded as admitting requests.
  bool registered() const { return registered_; }
  MinuteIndex minute() const { return minute_clock_.minute(); }
  /// @return When another VM was last heard from; nothing when it never was.
  std::optional<MonoTime> LastHeard(const VmId& vm) const;

 private:
  enum class SubmissionKind : uint8_t {
    kCaller,
    kLedger,
    kAccounting,
    kRegistration,
    kLostVm,
    kLeave,
    kOrder,
  };
  struct Submission {
    SubmissionKind kind = SubmissionKind::kCaller;
    /// The caller's submission id, the ledger batch's or the order proposal's.
    uint64_t id = 0;
  };
  /// A read that this VM, as the leader, confirms for an origin.
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

  /// Starts what is due: registration, accounting, ledger batches, resends.
  void Advance();
  /// Notes a new leader, term or membership.
  void NoteReplica();
  void AdvanceRegistration();
  void AdvanceAccounting();
  void AdvanceLedger();
  void AdvanceLostVms();
  void AdvanceSends();
  void AdvanceLeave();
  void AdvanceOrders();
  void HandleOrders(OrderDriver::Output output);

  void StepReplica(const ReplicaEvent& event);
  void HandleReplicaAction(const SendAction& action);
  void HandleReplicaAction(const WriteAction& action);
  void HandleReplicaAction(const ApplyAction& action);
  void HandleReplicaAction(const RestoreSnapshotAction& action);
  void HandleReplicaAction(const CreateSnapshotAction& action);
  void HandleReplicaAction(const ProposalOutcomeAction& action);
  void HandleReplicaAction(const ReadIndexAction& action);
  void HandleReplicaAction(const ProvisionalTailChangedAction& action);

  uint64_t Submit(SubmissionKind kind,
                  uint64_t id,
                  CommandBody body,
                  absl::Duration timeout);
  void OnAnswer(const CommandSubmitter::Answer& answer);
  void OnLedgerAnswer(uint64_t batch_id, const Expected<CommandResult>& result);
  void SendReplies(std::vector<CommandLeader::Reply> replies);
  void Send(const VmId& to, ControlMessage message);
  void Note(std::string kind,
            std::vector<std::pair<std::string, std::string>> inputs);

  VmRegistration MakeRegistration(VmState state) const;
  void UpdateRegistered();
  /// @return True when the fleet's record expects this VM to mark its minutes:
  ///     it names this process, or an earlier one of this VM that has neither
  ///     left nor been declared lost. In the second case the minutes until this
  ///     process is recorded are shown as not vouched for.
  bool IsCoveredByRecord() const;
  /// Emits changed settings in front of the step's other actions, then the
  /// lease.
  void Publish(std::vector<ControlAction>* actions);

  ControlNodeSettings settings_;
  std::unique_ptr<Replica> replica_;
  ControlState state_;
  /// Last applied entry, of whichever kind.
  LogIndex applied_;
  MinuteClock minute_clock_;
  CommandSubmitter submitter_;
  CommandLeader leader_;
  LedgerBatcher ledger_;
  RefusalRecorder recorder_;
  ReadTracker reads_;
  VmMonitor monitor_;
  OrderDriver orders_;
  LimitExchange limits_;

  /// Times of the step in progress.
  MonoTime now_;
  absl::Time wall_now_;
  /// Actions of the step in progress, without the published ones.
  std::vector<ControlAction> step_actions_;

  /// Start of this process as registered; larger after each registration.
  Incarnation incarnation_;
  bool registered_ = false;
  bool registration_in_flight_ = false;
  bool lost_vm_in_flight_ = false;
  /// Since when this VM has led without a break; nothing while it does not.
  std::optional<MonoTime> leader_since_;
  /// Set by `LeaveEvent`.
  std::optional<MonoTime> leave_deadline_;
  bool leave_submitted_ = false;
  bool left_ = false;

  /// What `NoteReplica` told last.
  VmId noted_leader_;
  TermNumber noted_term_;
  Membership noted_membership_;

  bool settings_changed_ = true;
  MonoTime published_lease_;
  Ref<SharedRoutingTable> published_routing_;

  uint64_t next_token_;
  std::map<uint64_t, Submission> submissions_;
  uint64_t next_read_ = 1;
  std::map<uint64_t, ReadOrigin> read_origins_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_NODE_H_
