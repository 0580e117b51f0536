#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "camphorsail/control/control_node.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/orders/order_store.h"

// What a control node does outside the group while it is the leader: orders to
// engines and calls to the provider.
namespace camphorsail {

std::optional<MonoTime> ControlNode::ActingLeaderContact() const {
  // A leader whose state lacks committed entries could repeat what an earlier
  // leader did. A VM that is leaving starts nothing that could outlast its
  // process.
  if (applied_ < replica_->CommitIndex() || leave_deadline_.has_value()) {
    return std::nullopt;
  }
  return replica_->QuorumContact();
}

void ControlNode::PlanOrders() {
  if (!orders_.IsDue(now_)) {
    return;
  }
  std::optional<OrderDriver::Leadership> leadership;
  if (const std::optional<MonoTime> contact = ActingLeaderContact()) {
    leadership = OrderDriver::Leadership{replica_->term(), *contact};
  }
  OrderDriver::Output output;
  orders_.Advance(leadership, state_.orders(), now_, &output);
  HandleOrders(std::move(output));
}

void ControlNode::HandleOrders(OrderDriver::Output output) {
  for (OrderDriver::Proposal& proposal : output.proposals) {
    Submit(SubmissionKind::kOrder, proposal.id, std::move(proposal.body),
           settings_.submission_timeout);
  }
  for (EngineCallAction& call : output.calls) {
    if (call.order.has_value()) {
      AddTimelineEvent("order_sent",
                       {{"server", call.server.value()},
                        {"term", absl::StrCat(call.token.term.value())},
                        {"counter", absl::StrCat(call.token.counter)}});
    }
    step_actions_.push_back(std::move(call));
  }
}

void ControlNode::PlanDuties() {
  if (!duties_.IsDue(now_)) {
    return;
  }
  std::optional<DutyDriver::Leadership> leadership;
  if (const std::optional<MonoTime> contact = ActingLeaderContact()) {
    leadership = DutyDriver::Leadership{replica_->term(), *contact};
  }
  DutyDriver::Output output;
  duties_.Advance(leadership, state_.duties(), now_, &output);
  HandleDuties(std::move(output));
}

void ControlNode::HandleDuties(DutyDriver::Output output) {
  for (DutyDriver::Note& note : output.notes) {
    AddTimelineEvent(std::move(note.kind), std::move(note.inputs));
  }
  for (DutyDriver::Proposal& proposal : output.proposals) {
    CommandBody body = std::visit(
        [](auto& command) { return CommandBody(std::move(command)); },
        proposal.command);
    Submit(SubmissionKind::kDuty, proposal.id, std::move(body),
           settings_.submission_timeout);
  }
  for (ProviderCall& call : output.calls) {
    step_actions_.push_back(ProviderCallAction{std::move(call)});
  }
}

}  // namespace camphorsail
