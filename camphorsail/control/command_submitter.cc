#include "camphorsail/control/command_submitter.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/control/command.h"

namespace camphorsail {
namespace {

/// Commands wait for an answer longer by the time that they take at this rate.
constexpr double kResendBytesPerSecond = 4 << 20;

}  // namespace

CommandSubmitter::CommandSubmitter(absl::Duration resend_interval)
    : resend_interval_(resend_interval) {}

void CommandSubmitter::Submit(uint64_t token,
                              std::string command,
                              MonoTime deadline) {
  const bool is_too_large = command.size() > kMaxCommandBytes;
  pending_.insert_or_assign(token, Pending{std::move(command), deadline,
                                           MonoTime(), false, is_too_large});
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
    if (!pending.is_too_large && (leader_changed || now >= pending.next_send)) {
      pending.next_send =
          now + resend_interval_ +
          absl::Seconds(static_cast<double>(pending.command.size()) /
                        kResendBytesPerSecond);
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
    if (now < pending.deadline && !pending.is_too_large) {
      ++position;
      continue;
    }
    Error error;
    if (pending.is_too_large) {
      error = {ErrorKind::kBodyTooLarge,
               absl::StrCat("the change takes ", pending.command.size(),
                            " bytes; a replicated change has at most ",
                            kMaxCommandBytes)};
      answers->push_back(
          Answer{position->first, tl::unexpected<Error>(std::move(error))});
      position = pending_.erase(position);
      continue;
    }
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
