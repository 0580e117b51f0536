#include <utility>

#include "camphorsail/control/control_node.h"

// The commands that a control node submits, and their answers.
namespace camphorsail {
namespace {

/// @return True when the command was committed and the state machine accepted
/// it. A missing answer and a rejection by the state machine both give false.
bool WasCommitted(const Expected<CommandResult>& result) {
  return result.has_value() && !result->error.has_value();
}

}  // namespace

uint64_t ControlNode::Submit(SubmissionKind kind,
                             uint64_t id,
                             CommandBody body,
                             absl::Duration timeout) {
  Command command;
  command.proposer = settings_.registration.vm;
  command.wall_micros = absl::ToUnixMicros(wall_now_);
  command.body = std::move(body);
  const uint64_t token = next_token_++;
  submissions_.emplace(token, Submission{kind, id});
  submitter_.Submit(token, EncodeCommand(command), now_ + timeout);
  return token;
}

void ControlNode::OnAnswer(const CommandSubmitter::Answer& answer) {
  const auto position = submissions_.find(answer.token);
  if (position == submissions_.end()) {
    return;
  }
  const Submission submission = position->second;
  submissions_.erase(position);
  switch (submission.kind) {
    case SubmissionKind::kExternal:
      if (submission.id != 0) {
        step_actions_.push_back(
            SubmissionAnsweredAction{submission.id, answer.result});
      }
      break;
    case SubmissionKind::kLedger:
      OnLedgerAnswer(submission.id, answer.result);
      break;
    case SubmissionKind::kAccounting:
      recorder_.OnAnswer(WasCommitted(answer.result));
      break;
    case SubmissionKind::kRegistration:
      registration_in_flight_ = false;
      break;
    case SubmissionKind::kLostVm:
      lost_vm_in_flight_ = false;
      break;
    case SubmissionKind::kLeave:
      left_ = true;
      step_actions_.push_back(
          LeaveCompletedAction{WasCommitted(answer.result)});
      break;
    case SubmissionKind::kOrder:
      orders_.OnProposalAnswer(submission.id, WasCommitted(answer.result));
      break;
    case SubmissionKind::kDuty:
      duties_.OnProposalAnswer(submission.id, WasCommitted(answer.result));
      break;
  }
}

void ControlNode::OnLedgerAnswer(uint64_t batch_id,
                                 const Expected<CommandResult>& result) {
  std::vector<LedgerBatcher::OpenAnswer> answers;
  ledger_.OnAnswer(batch_id, result, &answers);
  for (LedgerBatcher::OpenAnswer& answer : answers) {
    step_actions_.push_back(LedgerOpenAnsweredAction{
        std::move(answer.open.key), answer.open.request, answer.open.attempt,
        std::move(answer.result)});
  }
}

void ControlNode::SendReplies(std::vector<CommandProposer::Reply> replies) {
  for (CommandProposer::Reply& reply : replies) {
    if (reply.to != settings_.registration.vm) {
      Send(reply.to, std::move(reply.result));
      continue;
    }
    std::vector<CommandSubmitter::Answer> answers;
    submitter_.OnResult(reply.result, &answers);
    for (const CommandSubmitter::Answer& answer : answers) {
      OnAnswer(answer);
    }
  }
}

}  // namespace camphorsail
