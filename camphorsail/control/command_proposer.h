#ifndef CAMPHORSAIL_CONTROL_COMMAND_PROPOSER_H_
#define CAMPHORSAIL_CONTROL_COMMAND_PROPOSER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/consensus/replica_event.h"
#include "camphorsail/control/command_result.h"
#include "camphorsail/control/control_message.h"

namespace camphorsail {

/// The leader's side of submitted commands: proposes each command to the
/// replica and sends the result to the VM that submitted it, the origin, once
/// the command is applied on this VM. When this VM is not the leader, the
/// replica rejects the proposals and the origins are told that nothing was
/// applied.
///
/// Owned by `ControlNode`. Not thread-safe.
class CommandProposer {
 public:
  /// A result and the VM that must receive it.
  struct Reply {
    VmId to;
    ForwardedResult result;
  };

  /// @param origin The VM that submitted the command.
  /// @return The event that proposes the command to the replica.
  ProposeEvent Propose(const VmId& origin, const ForwardedCommand& command);

  /// Handles the replica's answer to a proposal.
  /// @param outcome Log index of the committed command, or an error.
  /// @param replies The reply is appended, if the result is known.
  void OnOutcome(uint64_t proposal_id,
                 const Expected<LogIndex>& outcome,
                 std::vector<Reply>* replies);

  /// Handles the result of an entry that the state machine has applied.
  /// @param replies The reply is appended, if the command's origin is known.
  void OnApplied(const CommandResult& result, std::vector<Reply>* replies);

  /// @return True when no proposal waits for its result.
  bool idle() const { return proposals_.empty() && by_index_.empty(); }

 private:
  struct Origin {
    VmId vm;
    uint64_t token = 0;
  };

  static Reply MakeReply(const Origin& origin, const CommandResult* result);

  uint64_t next_proposal_id_ = 1;
  /// Origins of proposals whose outcome is not known, by proposal id.
  std::map<uint64_t, Origin> proposals_;
  /// Origins of committed commands that are not applied yet, by log index.
  std::map<LogIndex, Origin> by_index_;
  /// Results of entries that were applied before the outcome of their proposal
  /// was reported, by log index.
  std::map<LogIndex, CommandResult> early_results_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_COMMAND_PROPOSER_H_
