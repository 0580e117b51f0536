#include "camphorsail/duties/duty_driver.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

std::vector<std::pair<std::string, std::string>> DescribeWindow(
    const UsageWindow& window) {
  uint64_t requests = 0;
  for (const AccountUsage& usage : window.accounts) {
    requests += usage.requests;
  }
  return {{"window", absl::StrCat(window.number.value())},
          {"accounts", absl::StrCat(window.accounts.size())},
          {"requests", absl::StrCat(requests)}};
}

std::vector<std::pair<std::string, std::string>> DescribeOrder(
    const ServerOrder& order) {
  return {{"service", order.subject.service.value()},
          {"failure_domain", order.subject.failure_domain.value()},
          {"tenure", ToString(order.subject.tenure)},
          {"count", absl::StrCat(order.count)}};
}

}  // namespace

void DutyDriver::BeginTerm(const Leadership& leadership,
                           const DutyStore& store,
                           MonoTime now) {
  term_ = leadership.term;
  proposed_.clear();
  reported_.clear();
  ordered_.clear();
  progress_.clear();
  const DutyClaim& last = store.holder().claim;
  // Calls of an earlier process of this VM count as calls of the same holder;
  // the provider turns late ones away if it checks tokens.
  const bool is_same_holder =
      last.vm == vm_ &&
      (last.process == process_ || settings_.provider_checks_tokens);
  // `now` is later than the election, which makes the wait longer.
  may_act_from_ =
      last.vm.value().empty() || is_same_holder ? now : now + settings_.lease;
}

void DutyDriver::Propose(Command command, Output* output) {
  const uint64_t id = next_id_++;
  proposed_.emplace(id, command);
  output->proposals.push_back({id, std::move(command)});
}

bool DutyDriver::IsClaimProposed() const {
  return std::any_of(proposed_.begin(), proposed_.end(), [](const auto& item) {
    return std::holds_alternative<DutyClaim>(item.second);
  });
}

bool DutyDriver::IsAgreementProposed(UsageWindowNumber number) const {
  return std::any_of(
      proposed_.begin(), proposed_.end(), [number](const auto& item) {
        const auto* agreement = std::get_if<UsageAgreement>(&item.second);
        return agreement != nullptr && agreement->window.number == number;
      });
}

void DutyDriver::Advance(const std::optional<Leadership>& leadership,
                         const DutyStore& store,
                         MonoTime now,
                         Output* output) {
  next_step_ = now + kStepInterval;
  if (!leadership.has_value()) {
    proposed_.clear();
    return;
  }
  if (term_ != leadership->term) {
    BeginTerm(*leadership, store, now);
  }
  const DutyHolder& holder = store.holder();
  if (holder.claim != DutyClaim{vm_, process_, *term_} ||
      holder.token <= rejected_token_) {
    if (!IsClaimProposed()) {
      claimed_at_ = now;
      Propose(DutyClaim{vm_, process_, *term_}, output);
    }
    return;
  }
  ProposeAgreements(store, output);
  const MonoTime act_until =
      leadership->quorum_contact + settings_.lease * settings_.lease_fraction;
  if (now < may_act_from_ || now >= act_until || !pacer_.MayCall(now) ||
      HasCallWithOtherToken(holder.token)) {
    return;
  }
  std::optional<ProviderCall::Content> content = NextContent(store, now);
  if (!content.has_value()) {
    return;
  }
  ProviderCall call;
  call.id = next_id_++;
  call.holder = vm_;
  call.token = holder.token;
  call.content = *std::move(content);
  call.send_before = act_until;
  call.deadline = now + settings_.call_timeout;
  pacer_.OnCall(now);
  calls_.emplace(call.id, call);
  output->calls.push_back(std::move(call));
}

void DutyDriver::ProposeAgreements(const DutyStore& store, Output* output) {
  if (!settings_.reports_usage) {
    return;
  }
  for (const UsageWindow& window : inputs_.closed_windows) {
    if (!store.IsAgreed(window.number) && !IsAgreementProposed(window.number)) {
      output->notes.push_back({"usage_agreed", DescribeWindow(window)});
      Propose(UsageAgreement{window}, output);
    }
  }
}

bool DutyDriver::HasCallWithOtherToken(DutyToken token) const {
  return std::any_of(calls_.begin(), calls_.end(), [token](const auto& item) {
    return item.second.token != token;
  });
}

std::optional<ProviderCall::Content> DutyDriver::NextContent(
    const DutyStore& store,
    MonoTime now) {
  if (const UsageWindow* window = NextReport(store); window != nullptr) {
    return *window;
  }
  if (std::optional<ServerOrder> order = NextOrder(store, now)) {
    return *std::move(order);
  }
  return std::nullopt;
}

const UsageWindow* DutyDriver::NextReport(const DutyStore& store) const {
  const bool is_reporting =
      std::any_of(calls_.begin(), calls_.end(), [](const auto& item) {
        return std::holds_alternative<UsageWindow>(item.second.content);
      });
  if (!settings_.reports_usage || is_reporting) {
    return nullptr;
  }
  for (const auto& [number, window] : store.open_windows()) {
    if (!reported_.contains(number)) {
      return &window;
    }
  }
  return nullptr;
}

std::optional<ServerOrder> DutyDriver::NextOrder(const DutyStore& store,
                                                 MonoTime now) {
  if (!settings_.orders_servers) {
    return std::nullopt;
  }
  std::optional<ServerOrder> next;
  for (const WantedServers& wanted : inputs_.wanted_servers) {
    const ServerOrderSubject& subject = wanted.order.subject;
    if (store.holds().contains(subject.service) || HasCallFor(subject) ||
        !NeedsOrder(wanted, store, now) ||
        now < progress_[subject].not_before) {
      continue;
    }
    if (wanted.order.count > wanted.present) {
      return wanted.order;
    }
    if (!next.has_value()) {
      next = wanted.order;
    }
  }
  return next;
}

std::optional<int> DutyDriver::AcceptedCount(const ServerOrderSubject& subject,
                                             const DutyStore& store) const {
  if (const auto own = ordered_.find(subject); own != ordered_.end()) {
    return own->second;
  }
  const auto found = store.orders().find(subject);
  return found == store.orders().end() ? std::nullopt
                                       : std::optional(found->second.count);
}

bool DutyDriver::NeedsOrder(const WantedServers& wanted,
                            const DutyStore& store,
                            MonoTime now) {
  const std::optional<int> accepted =
      AcceptedCount(wanted.order.subject, store);
  if (accepted.has_value() && *accepted != wanted.order.count) {
    return true;
  }
  OrderProgress& progress = progress_[wanted.order.subject];
  if (wanted.present == wanted.order.count) {
    progress.differs_since.reset();
    return false;
  }
  if (!accepted.has_value()) {
    return true;
  }
  if (!progress.differs_since.has_value()) {
    progress.differs_since = now;
  }
  return now - std::max(*progress.differs_since, progress.accepted_at) >
         wanted.settle_time;
}

bool DutyDriver::HasCallFor(const ServerOrderSubject& subject) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& item) {
    const auto* order = std::get_if<ServerOrder>(&item.second.content);
    return order != nullptr && order->subject == subject;
  });
}

void DutyDriver::OnCallEnded(uint64_t id,
                             ProviderOutcome outcome,
                             MonoTime now,
                             Output* output) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const ProviderCall call = std::move(found->second);
  calls_.erase(found);
  next_step_ = MonoTime();
  const bool was_taken = outcome == ProviderOutcome::kAccepted ||
                         outcome == ProviderOutcome::kConflict;
  if (was_taken) {
    pacer_.OnSuccess();
  } else {
    pacer_.OnFailure(now);
  }
  const auto* window = std::get_if<UsageWindow>(&call.content);
  if (outcome != ProviderOutcome::kAccepted) {
    Note note{"provider_call_failed",
              window != nullptr
                  ? DescribeWindow(*window)
                  : DescribeOrder(std::get<ServerOrder>(call.content))};
    note.inputs.emplace_back("outcome", ToString(outcome));
    note.inputs.emplace_back("token", absl::StrCat(call.token.value()));
    output->notes.push_back(std::move(note));
  }
  if (window != nullptr) {
    OnUsageEnded(*window, call.token, outcome, output);
  } else {
    OnOrderEnded(std::get<ServerOrder>(call.content), call.token, outcome, now,
                 output);
  }
}

void DutyDriver::OnUsageEnded(const UsageWindow& window,
                              DutyToken token,
                              ProviderOutcome outcome,
                              Output* output) {
  if (outcome == ProviderOutcome::kConflict) {
    rejected_token_ = std::max(rejected_token_, token);
    return;
  }
  if (outcome != ProviderOutcome::kAccepted) {
    return;
  }
  Note note{"usage_reported", DescribeWindow(window)};
  note.inputs.emplace_back("token", absl::StrCat(token.value()));
  output->notes.push_back(std::move(note));
  reported_.insert(window.number);
  Propose(UsageSettlement{window.number}, output);
}

void DutyDriver::OnOrderEnded(const ServerOrder& order,
                              DutyToken token,
                              ProviderOutcome outcome,
                              MonoTime now,
                              Output* output) {
  OrderProgress& progress = progress_[order.subject];
  if (outcome == ProviderOutcome::kConflict) {
    progress.not_before = now + kConflictBackoff;
    if (++progress.conflicts >= kConflictsBeforeClaim &&
        now - claimed_at_ >= settings_.lease) {
      progress.conflicts = 0;
      rejected_token_ = std::max(rejected_token_, token);
    }
    return;
  }
  progress.conflicts = 0;
  if (outcome != ProviderOutcome::kAccepted) {
    return;
  }
  Note note{"servers_ordered", DescribeOrder(order)};
  note.inputs.emplace_back("token", absl::StrCat(token.value()));
  output->notes.push_back(std::move(note));
  progress.accepted_at = now;
  progress.differs_since.reset();
  ordered_[order.subject] = order.count;
  Propose(OrderSettlement{order, token}, output);
}

}  // namespace camphorsail
