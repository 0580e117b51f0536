#ifndef CAMPHORSAIL_DUTIES_DUTY_DRIVER_H_
#define CAMPHORSAIL_DUTIES_DUTY_DRIVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/call_pacer.h"
#include "camphorsail/duties/duty_commands.h"
#include "camphorsail/duties/duty_inputs.h"
#include "camphorsail/duties/duty_settings.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/duties/provider_call.h"

namespace camphorsail {

/// Decides which calls this VM makes to the provider. The leader of the group
/// holds all duties: it claims them in the log, waits until the lease of the
/// holder before it has ended, and acts while its own lease is valid. A usage
/// report is agreed in the log before its first call and repeated unchanged; an
/// order is repeated until the servers that announce themselves agree with it.
///
/// Owned by `ControlNode`. Not thread-safe.
class DutyDriver {
 public:
  /// This VM's leadership at the time of a step.
  struct Leadership {
    TermNumber term;
    /// When a quorum of voters last confirmed the leader.
    MonoTime quorum_contact;
  };
  using Command =
      std::variant<DutyClaim, UsageAgreement, UsageSettlement, OrderSettlement>;
  /// A command for the log, with the id by which its outcome is reported.
  struct Proposal {
    uint64_t id = 0;
    Command command;
  };
  /// An event for the log lines and the timeline.
  struct Note {
    std::string kind;
    std::vector<std::pair<std::string, std::string>> inputs;
  };
  struct Output {
    std::vector<Proposal> proposals;
    std::vector<ProviderCall> calls;
    std::vector<Note> notes;
  };

  /// @param process Distinguishes this process from earlier ones of the VM.
  DutyDriver(const DutySettings& settings, VmId vm, Incarnation process)
      : settings_(settings),
        vm_(std::move(vm)),
        process_(process),
        pacer_(settings.provider_calls_per_s * kRateFraction) {}

  void OnInputs(DutyInputs inputs, MonoTime now) {
    inputs_ = std::move(inputs);
    inputs_at_ = now;
  }
  /// Handles the end of a call.
  /// @param output Resulting proposals are appended.
  void OnCallEnded(uint64_t id,
                   ProviderOutcome outcome,
                   MonoTime now,
                   Output* output);
  /// Handles the outcome of a proposal.
  /// @param committed False when the outcome of the proposal is not known or it
  ///     was rejected. What a settlement records is done again: the report is
  ///     repeated unchanged, the order is sent again.
  void OnProposalAnswer(uint64_t id, bool committed);

  /// @return True when `Advance` must be called.
  bool IsDue(MonoTime now) const {
    return settings_.HasDuties() && now >= next_step_;
  }
  /// Decides on the next proposals and calls.
  /// @param leadership Set only when this VM is the leader and its state
  ///     contains all entries of earlier terms.
  /// @param output The proposals and calls are appended.
  void Advance(const std::optional<Leadership>& leadership,
               const DutyStore& store,
               MonoTime now,
               Output* output);

 private:
  /// Time between two steps.
  static constexpr absl::Duration kStepInterval = absl::Milliseconds(50);
  /// Part of the provider's rate that one holder uses. Calls of an earlier
  /// holder may still be on their way.
  static constexpr double kRateFraction = 0.5;
  /// Time between a conflict and the next call for its subject, and between two
  /// claims because of conflicts.
  static constexpr absl::Duration kConflictBackoff = absl::Seconds(2);
  /// Age at which inputs are not used any more. The daemon renews them several
  /// times within it; older ones were made before the process was suspended, or
  /// before it lost the leadership.
  static constexpr absl::Duration kInputsLifetime = absl::Seconds(3);

  /// The calls of this holder for the usage reports, or for one subject of
  /// orders.
  struct CallHistory {
    /// Calls in a row that the provider did not accept.
    int failures = 0;
    MonoTime not_before;
    /// Token of the last call that met a conflict. The provider may have seen a
    /// higher one; therefore this token is not used again.
    DutyToken conflict_token;
  };
  /// What this holder knows about the orders of one subject.
  struct OrderProgress {
    CallHistory calls;
    /// When the provider accepted the last order of this holder.
    MonoTime accepted_at;
    /// True when it is not known whether the last order is carried out.
    bool is_uncertain = false;
    /// Since when the present servers have differed from the accepted order.
    std::optional<MonoTime> differs_since;
  };
  /// A call that is due.
  struct DueCall {
    ProviderCall::Content content;
    int failures = 0;
  };

  void BeginTerm(const Leadership& leadership,
                 const DutyStore& store,
                 MonoTime now);
  void Propose(Command command, Output* output);
  /// @return True when a claim is proposed, or an agreement on the window.
  bool IsClaimProposed() const;
  bool IsAgreementProposed(UsageWindowNumber number) const;
  /// Proposes the agreements on the windows that have closed.
  void ProposeAgreements(const DutyStore& store, Output* output);
  /// @return True when a call with another token has not ended. It might reach
  /// the provider after a call with the current token.
  bool HasCallWithOtherToken(DutyToken token) const;
  /// @return True when a call may be made now. When it needs a higher token,
  /// the duties are claimed in the next step.
  bool MayCall(const CallHistory& history, DutyToken token, MonoTime now);
  /// @return The next call: of those that failed least often in a row, a usage
  /// report before orders; nothing when none is due.
  std::optional<DueCall> NextCall(const DutyStore& store, MonoTime now);
  /// @return The earliest usage report to send; nothing when there is none.
  std::optional<DueCall> NextReport(const DutyStore& store, MonoTime now);
  /// @return The next order to send: of those that failed least often in a row,
  /// one that adds servers before one that gives some back; nothing when there
  /// is none.
  std::optional<DueCall> NextOrder(const DutyStore& store, MonoTime now);
  /// @return The count that the provider accepted last; nothing before the
  /// first order.
  std::optional<int> AcceptedCount(const ServerOrderSubject& subject,
                                   const DutyStore& store) const;
  /// @return True when an order for the subject has to be sent.
  bool NeedsOrder(const WantedServers& wanted,
                  const DutyStore& store,
                  MonoTime now);
  bool HasCallFor(const ServerOrderSubject& subject) const;
  static void Record(DutyToken token,
                     ProviderOutcome outcome,
                     MonoTime now,
                     CallHistory* history);
  void OnUsageEnded(const ProviderCall& call,
                    ProviderOutcome outcome,
                    MonoTime now,
                    Output* output);
  void OnOrderEnded(const ProviderCall& call,
                    ProviderOutcome outcome,
                    MonoTime now,
                    Output* output);

  const DutySettings settings_;
  const VmId vm_;
  const Incarnation process_;
  CallPacer pacer_;
  DutyInputs inputs_;
  /// When the inputs were received.
  MonoTime inputs_at_;
  MonoTime next_step_;
  uint64_t next_id_ = 1;

  /// The latest term in which this VM was the leader.
  std::optional<TermNumber> term_;
  /// The calls of earlier terms have lower ids.
  uint64_t first_call_of_term_ = 0;
  /// From then on no call of a holder of an earlier term can begin.
  MonoTime may_act_from_;
  /// A call is due that needs a token above this one. The duties are claimed
  /// again.
  DutyToken refused_token_;
  MonoTime claimed_at_;
  /// `DutyStore::abandoned_windows` that is reported.
  uint64_t reported_abandoned_ = 0;
  /// Proposals without an answer, by id.
  std::map<uint64_t, Command> proposed_;
  /// Calls that have not ended, by id.
  std::map<uint64_t, ProviderCall> calls_;
  CallHistory reports_;
  /// Windows that the provider has accepted from this holder.
  std::set<UsageWindowNumber> reported_;
  /// Counts that the provider has accepted from this holder, by subject. Ahead
  /// of the store until the settlement is applied.
  std::map<ServerOrderSubject, int> ordered_;
  std::map<ServerOrderSubject, OrderProgress> progress_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_DUTY_DRIVER_H_
