#ifndef CAMPHORSAIL_CONTROL_COMMAND_SUBMITTER_H_
#define CAMPHORSAIL_CONTROL_COMMAND_SUBMITTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/command_result.h"
#include "camphorsail/control/control_message.h"

namespace camphorsail {

/// Holds the commands of this VM that wait for their result. Each command is
/// sent to the current leader, and sent again after a change of leader or
/// without an answer, until it is answered or its deadline passes. Resending is
/// safe because applying a command more than once has no further effect.
///
/// Owned by `ControlNode`. Not thread-safe.
class CommandSubmitter {
 public:
  /// The result of a submission, or the error after which it was given up.
  struct Answer {
    uint64_t token = 0;
    Expected<CommandResult> result;
  };

  /// @param resend_interval Time without an answer after which a command is
  ///     sent again; longer for a large one, which the leader would else
  ///     replicate several times.
  explicit CommandSubmitter(absl::Duration resend_interval);

  /// Adds a command. One that is larger than `kMaxCommandBytes` is not sent,
  /// and is answered with `kBodyTooLarge` by the next call of `ExpireDue`.
  /// @param token A number that this VM uses only once, also across its
  ///     restarts.
  /// @param command An encoded `Command`.
  /// @param deadline When the submission is answered with an error.
  void Submit(uint64_t token, std::string command, MonoTime deadline);

  /// @param leader The current leader; empty when unknown. After a change of
  ///     leader all commands are due again.
  /// @return The commands to send to the leader now.
  std::vector<ForwardedCommand> TakeDue(const VmId& leader, MonoTime now);

  /// Handles the leader's answer.
  /// @param answers The answer to the submission is appended, unless the
  ///     command was not applied or its token is unknown.
  void OnResult(const ForwardedResult& result, std::vector<Answer>* answers);

  /// Answers the submissions whose deadline has passed with an error.
  void ExpireDue(MonoTime now, std::vector<Answer>* answers);

  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    std::string command;
    MonoTime deadline;
    MonoTime next_send;
    /// True once the command may have reached a leader.
    bool sent = false;
    bool is_too_large = false;
  };

  absl::Duration resend_interval_;
  VmId leader_;
  /// Submissions by token. Ordered, so that a test run is reproducible.
  std::map<uint64_t, Pending> pending_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_COMMAND_SUBMITTER_H_
