#include "tests/unit/control_node/virtual_engine.h"

#include <algorithm>

namespace camphorsail {

void VirtualEngine::OnCall(int vm, const EngineCallAction& call) {
  // The daemon reports an unanswered call at its deadline. When an answer has
  // arrived earlier, the node ignores this second result.
  EngineCallResultEvent timeout{id_, call.token, call.order.has_value(), false,
                                std::nullopt};
  cluster_->PostAt(vm, timeout, call.deadline);
  if (random_.Below(10) == 0) {
    return;
  }
  // One order in three is delayed by up to 30 s, as by a stalled connection.
  const bool slow = call.order.has_value() && random_.Below(3) == 0;
  const auto delay =
      absl::Milliseconds(1 + random_.Below(slow ? uint64_t{30'000} : 5));
  calls_.push_back({vm, cluster_->vm(vm).starts, call, cluster_->now() + delay,
                    std::nullopt});
}

void VirtualEngine::Step() {
  const MonoTime now = cluster_->now();
  std::vector<Call> calls;
  calls.swap(calls_);
  for (Call& call : calls) {
    if (now >= call.action.deadline) {
      continue;
    }
    if (call.done.has_value() && now >= *call.done) {
      Apply(*call.action.order);
      Answer(call, false);
    } else if (call.done.has_value() || now < call.arrives) {
      calls_.push_back(call);
    } else {
      Arrive(&call);
    }
  }
}

void VirtualEngine::Arrive(Call* call) {
  if (checks_tokens_ && call->action.token <= highest_) {
    Answer(*call, false);
    return;
  }
  highest_ = std::max(highest_, call->action.token);
  if (!call->action.order.has_value()) {
    Answer(*call, true);
    return;
  }
  call->done = cluster_->now() + absl::Milliseconds(100 + random_.Below(8'000));
  calls_.push_back(*call);
}

void VirtualEngine::Apply(const OrderIntent& order) {
  ++applied_;
  violations_ += order.token.term < newest_applied_ ? 1 : 0;
  newest_applied_ = std::max(newest_applied_, order.token.term);
  auto& artifacts = state_.artifacts;
  const auto position =
      std::find(artifacts.begin(), artifacts.end(), order.artifact);
  if (order.operation == OrderOperation::kSetRole) {
    state_.role = order.role;
  } else if (order.operation == OrderOperation::kUnload) {
    if (position != artifacts.end()) {
      artifacts.erase(position);
    }
  } else if (position != artifacts.end()) {
    ++double_loads_;
  } else {
    artifacts.push_back(order.artifact);
  }
}

void VirtualEngine::Answer(const Call& call, bool with_state) {
  // One answer in four is lost, and so are all answers to a process that has
  // ended.
  if (random_.Below(4) == 0 || cluster_->vm(call.vm).starts != call.start) {
    return;
  }
  EngineCallResultEvent result{id_, call.action.token,
                               call.action.order.has_value(), true,
                               std::nullopt};
  if (with_state) {
    EngineObservation observation;
    observation.server = id_;
    observation.incarnation = call.action.incarnation;
    observation.state = state_;
    observation.busy =
        std::any_of(calls_.begin(), calls_.end(),
                    [](const Call& c) { return c.done.has_value(); });
    observation.token = call.action.token;
    result.observation = observation;
  }
  cluster_->PostAt(call.vm, result,
                   cluster_->now() + absl::Milliseconds(1 + random_.Below(5)));
}

}  // namespace camphorsail
