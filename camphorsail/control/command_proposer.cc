#include "camphorsail/control/command_proposer.h"

#include <utility>

#include "camphorsail/control/command.h"

namespace camphorsail {
namespace {

// The outcome of a proposal is reported in the same step in which its entry is
// applied, so few results have to be kept.
constexpr size_t kMaxEarlyResults = 4096;

}  // namespace

ProposeEvent CommandProposer::Propose(const VmId& origin,
                                      const ForwardedCommand& command) {
  ProposeEvent event;
  event.proposal_id = next_proposal_id_++;
  event.data = command.command;
  event.changes_settings = IsSettingsCommand(command.command);
  proposals_.emplace(event.proposal_id, Origin{origin, command.token});
  return event;
}

void CommandProposer::OnOutcome(uint64_t proposal_id,
                                const Expected<LogIndex>& outcome,
                                std::vector<Reply>* replies) {
  const auto position = proposals_.find(proposal_id);
  if (position == proposals_.end()) {
    return;
  }
  Origin origin = std::move(position->second);
  proposals_.erase(position);
  if (!outcome) {
    replies->push_back(MakeReply(origin, nullptr));
    return;
  }
  const auto early = early_results_.find(*outcome);
  if (early != early_results_.end()) {
    replies->push_back(MakeReply(origin, &early->second));
    early_results_.erase(early);
    return;
  }
  by_index_.emplace(*outcome, std::move(origin));
}

void CommandProposer::OnApplied(const CommandResult& result,
                                std::vector<Reply>* replies) {
  const auto position = by_index_.find(result.index);
  if (position != by_index_.end()) {
    replies->push_back(MakeReply(position->second, &result));
    by_index_.erase(position);
    return;
  }
  if (proposals_.empty()) {
    early_results_.clear();
    return;
  }
  early_results_.emplace(result.index, result);
  if (early_results_.size() > kMaxEarlyResults) {
    early_results_.erase(early_results_.begin());
  }
}

CommandProposer::Reply CommandProposer::MakeReply(const Origin& origin,
                                                  const CommandResult* result) {
  Reply reply{origin.vm, ForwardedResult{origin.token, false, {}}};
  if (result != nullptr) {
    reply.result.applied = true;
    reply.result.result = EncodeCommandResult(*result);
  }
  return reply;
}

}  // namespace camphorsail
