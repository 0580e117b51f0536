#include "camphorsail/control/command_submitter.h"

#include <utility>

namespace camphorsail {

CommandSubmitter::CommandSubmitter(absl::Duration resend_interval)
    : resend_interval_(resend_interval) {}

void CommandSubmitter::Submit(uint64_t token,
                              std::string command,
                              MonoTime deadline) {
  pending_.insert_or_assign(
      token, Pending{std::move(command), deadline, MonoTime(), false});
}

std::vector<ForwardedCommand> CommandSubmitter::TakeDue(const VmId& leader,
                                                        MonoTime now) {
  std::vector<ForwardedCommand> due;
  if (leader.value().empty()) {
    leader_ = leader;
    return due;
  }
  const bool leader_changed = leader != leader_;
  leader_ = leader;
  for (auto& [token, pending] : pending_) {
    if (leader_changed || now >= pending.next_send) {
      pending.next_send = now + resend_interval_;
      pending.sent = true;
      due.push_back(ForwardedCommand{token, pending.command});
    }
  }
  return due;
}

void CommandSubmitter::OnResult(const ForwardedResult& result,
                                std::vector<Answer>* answers) {
  const auto position = pending_.find(result.token);
  if (position == pending_.end()) {
    return;
  }
  // A command that was not applied is sent again only after the resend
  // interval, so that a fleet without a leader is not flooded with messages.
  if (!result.applied) {
    return;
  }
  pending_.erase(position);
  answers->push_back(Answer{result.token, DecodeCommandResult(result.result)});
}

void CommandSubmitter::ExpireDue(MonoTime now, std::vector<Answer>* answers) {
  for (auto position = pending_.begin(); position != pending_.end();) {
    const Pending& pending = position->second;
    if (now < pending.deadline) {
      ++position;
      continue;
    }
    Error error;
    error.kind =
        pending.sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kQuorumLost;
    error.message = pending.sent
                        ? "the leader did not confirm the command in time; it "
                          "may still be committed"
                        : "no leader was known in time; the command was not "
                          "sent";
    answers->push_back(
        Answer{position->first, tl::unexpected<Error>(std::move(error))});
    position = pending_.erase(position);
  }
}

}  // namespace camphorsail
