#include "tests/unit/control_node/virtual_provider.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace camphorsail {

int VirtualProvider::Running(const ServerOrderSubject& subject) const {
  const auto found = running_.find(subject);
  return found == running_.end() ? 0 : found->second;
}

std::string VirtualProvider::SubjectOf(const ProviderCall& call) {
  const auto* order = std::get_if<ServerOrder>(&call.content);
  return order == nullptr ? "usage"
                          : absl::StrCat(order->subject.service.value(), " ",
                                         order->subject.failure_domain.value());
}

void VirtualProvider::OnCall(int vm, const ProviderCall& call) {
  // One connection in four is set up slowly, and as many calls arrive late,
  // unless the provider is calm.
  const auto draw_delay = [this] {
    const bool slow = !is_calm_ && random_.Below(4) == 0;
    return absl::Milliseconds(1 + random_.Below(slow ? uint64_t{3'000} : 5));
  };
  const absl::Duration connecting = draw_delay();
  const absl::Duration travelling = draw_delay();
  const MonoTime now = cluster_->now();
  calls_.push_back({vm, cluster_->vm(vm).starts, call, now, now + connecting,
                    false, now + connecting + travelling});
}

void VirtualProvider::Step() {
  std::vector<Call> calls;
  calls.swap(calls_);
  std::stable_sort(
      calls.begin(), calls.end(),
      [](const Call& a, const Call& b) { return a.arrives < b.arrives; });
  for (Call& call : calls) {
    if (!Advance(&call)) {
      calls_.push_back(call);
    }
  }
  std::vector<LateOrder> late;
  late.swap(late_);
  for (const LateOrder& order : late) {
    if (cluster_->now() >= order.carried_out) {
      running_[order.order.subject] = order.order.count;
    } else {
      late_.push_back(order);
    }
  }
}

bool VirtualProvider::Advance(Call* call) {
  const MonoTime now = cluster_->now();
  const ControlCluster::Vm& vm = cluster_->vm(call->vm);
  const bool process_ended = !vm.running || vm.starts != call->start;
  if (!call->is_written) {
    if (process_ended) {
      return true;
    }
    if (now < call->written || vm.frozen) {
      return false;
    }
    if (!is_available_ && random_.Below(2) == 0) {
      End(*call, ProviderOutcome::kNotSent);
      return true;
    }
    if (now >= std::min(call->call.send_before, call->call.deadline)) {
      End(*call, ProviderOutcome::kNotSent);
      return true;
    }
    CheckWrite(*call);
    call->arrives = now + (call->arrives - call->written);
    call->is_written = true;
    return false;
  }
  if (now >= call->call.deadline) {
    if (vm.frozen) {
      return false;
    }
    End(*call, ProviderOutcome::kUnknown);
    return true;
  }
  if (now < call->arrives) {
    return false;
  }
  Arrive(*call);
  return true;
}

void VirtualProvider::CheckWrite(const Call& call) {
  const MonoTime now = cluster_->now();
  const auto lost = lost_since_.find(call.vm);
  violations_["after_lease"] +=
      lost != lost_since_.end() && now > lost->second + settings_.lease;
  // Only a suspended process is that late.
  violations_["after_suspension"] += now > call.decided + settings_.lease;
}

void VirtualProvider::CheckArrival(const Call& call) {
  const MonoTime now = cluster_->now();
  const DutyToken token = call.call.token;
  if (const auto* window = std::get_if<UsageWindow>(&call.call.content)) {
    violations_["content"] +=
        contents_.emplace(window->number, *window).first->second != *window;
  }
  violations_["shared_token"] +=
      users_.emplace(token, call.vm).first->second != call.vm;
  violations_["lower_token"] +=
      !settings_.checks_tokens && token < highest_of_all_;
  highest_of_all_ = std::max(highest_of_all_, token);
  if (call.vm != last_vm_) {
    const auto before = last_call_of_vm_.find(call.vm);
    violations_["returned"] += before != last_call_of_vm_.end() &&
                               now - before->second < settings_.lease;
  }
  last_vm_ = call.vm;
  last_call_of_vm_[call.vm] = now;
  arrivals_.push_back(now);
  while (now - arrivals_.front() >= absl::Seconds(1)) {
    arrivals_.pop_front();
  }
  violations_["rate"] +=
      arrivals_.size() > static_cast<size_t>(settings_.calls_per_second);
  const auto conflict = conflicts_.find(SubjectOf(call.call));
  violations_["conflict_token"] += conflict != conflicts_.end() &&
                                   conflict->second.token == token &&
                                   now > conflict->second.at + settings_.lease;
}

void VirtualProvider::Arrive(const Call& call) {
  const MonoTime now = cluster_->now();
  ++received_;
  CheckArrival(call);
  const std::string subject = SubjectOf(call.call);
  const auto* order = std::get_if<ServerOrder>(&call.call.content);
  const bool is_stale =
      settings_.checks_tokens && call.call.token < highest_[subject];
  const bool has_no_servers =
      order != nullptr && !is_calm_ && random_.Below(8) == 0;
  if (!is_available_) {
    End(call, ProviderOutcome::kUnknown);
  } else if (is_stale || has_no_servers) {
    // The first of several conflicts with the same token counts.
    if (conflicts_[subject].token != call.call.token) {
      conflicts_[subject] = {call.call.token, now};
    }
    End(call, ProviderOutcome::kConflict);
  } else if (!is_calm_ && random_.Below(10) == 0) {
    End(call, ProviderOutcome::kRejected);
  } else {
    highest_[subject] = std::max(highest_[subject], call.call.token);
    const bool is_answered = is_calm_ || random_.Below(6) != 0;
    if (order == nullptr) {
      accepted_windows_.insert(std::get<UsageWindow>(call.call.content).number);
    } else if (is_answered) {
      running_[order->subject] = order->count;
    } else {
      late_.push_back({*order, now + absl::Milliseconds(random_.Below(8'000))});
    }
    End(call,
        is_answered ? ProviderOutcome::kAccepted : ProviderOutcome::kUnknown);
  }
}

void VirtualProvider::End(const Call& call, ProviderOutcome outcome) {
  if (cluster_->vm(call.vm).starts != call.start) {
    return;
  }
  // A lost answer is noticed at the deadline.
  const MonoTime soon =
      cluster_->now() + absl::Milliseconds(1 + random_.Below(5));
  const MonoTime at = outcome == ProviderOutcome::kUnknown
                          ? std::max(soon, call.call.deadline)
                          : soon;
  cluster_->PostAt(call.vm, ProviderCallEndedEvent{call.call.id, outcome}, at);
}

}  // namespace camphorsail
