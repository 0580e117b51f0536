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
  first_call_of_term_ = next_id_;
  reported_abandoned_ = store.abandoned_windows();
  proposed_.clear();
  reports_ = CallHistory();
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
    return;
  }
  if (term_ != leadership->term) {
    BeginTerm(*leadership, store, now);
  }
  const DutyHolder& holder = store.holder();
  if (holder.claim != DutyClaim{vm_, process_, *term_} ||
      holder.token <= refused_token_) {
    if (!IsClaimProposed()) {
      claimed_at_ = now;
      Propose(DutyClaim{vm_, process_, *term_}, output);
    }
    return;
  }
  if (now - inputs_at_ > kInputsLifetime) {
    inputs_ = DutyInputs();
  }
  ProposeAgreements(store, output);
  if (store.abandoned_windows() > reported_abandoned_) {
    output->notes.push_back(
        {"usage_abandoned",
         {{"windows",
           absl::StrCat(store.abandoned_windows() - reported_abandoned_)}}});
    reported_abandoned_ = store.abandoned_windows();
  }
  const MonoTime act_until =
      leadership->quorum_contact + settings_.lease * settings_.lease_fraction;
  if (now < may_act_from_ || now >= act_until || !pacer_.MayCall(now) ||
      HasCallWithOtherToken(holder.token)) {
    return;
  }
  std::optional<DueCall> due = NextCall(store, now);
  if (!due.has_value()) {
    return;
  }
  ProviderCall call;
  call.id = next_id_++;
  call.holder = vm_;
  call.token = holder.token;
  call.content = std::move(due->content);
  call.send_before = act_until;
  // Nothing of the call may reach the provider after the lease.
  call.deadline = std::min(now + settings_.call_timeout, act_until);
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

bool DutyDriver::MayCall(const CallHistory& history,
                         DutyToken token,
                         MonoTime now) {
  if (now < history.not_before) {
    return false;
  }
  if (token > history.conflict_token) {
    return true;
  }
  if (now - claimed_at_ >= kConflictBackoff) {
    refused_token_ = token;
  }
  return false;
}

std::optional<DutyDriver::DueCall> DutyDriver::NextCall(const DutyStore& store,
                                                        MonoTime now) {
  std::optional<DueCall> report = NextReport(store, now);
  std::optional<DueCall> order = NextOrder(store, now);
  if (!report.has_value() ||
      (order.has_value() && order->failures < report->failures)) {
    return order;
  }
  return report;
}

std::optional<DutyDriver::DueCall> DutyDriver::NextReport(
    const DutyStore& store,
    MonoTime now) {
  const bool is_reporting =
      std::any_of(calls_.begin(), calls_.end(), [](const auto& item) {
        return std::holds_alternative<UsageWindow>(item.second.content);
      });
  if (!settings_.reports_usage || is_reporting) {
    return std::nullopt;
  }
  for (const auto& [number, window] : store.open_windows()) {
    if (reported_.contains(number)) {
      continue;
    }
    if (!MayCall(reports_, store.holder().token, now)) {
      return std::nullopt;
    }
    return DueCall{window, reports_.failures};
  }
  return std::nullopt;
}

std::optional<DutyDriver::DueCall> DutyDriver::NextOrder(const DutyStore& store,
                                                         MonoTime now) {
  if (!settings_.orders_servers) {
    return std::nullopt;
  }
  std::optional<DueCall> next;
  bool next_adds = false;
  for (const WantedServers& wanted : inputs_.wanted_servers) {
    const ServerOrderSubject& subject = wanted.order.subject;
    if (store.holds().contains(subject.service) || HasCallFor(subject) ||
        !NeedsOrder(wanted, store, now) ||
        !MayCall(progress_[subject].calls, store.holder().token, now)) {
      continue;
    }
    const int failures = progress_[subject].calls.failures;
    const bool adds = wanted.order.count > wanted.present;
    if (!next.has_value() || failures < next->failures ||
        (failures == next->failures && adds && !next_adds)) {
      next = DueCall{wanted.order, failures};
      next_adds = adds;
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
  if (progress.is_uncertain) {
    return true;
  }
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
  pacer_.OnEnd(outcome == ProviderOutcome::kAccepted ||
                   outcome == ProviderOutcome::kConflict,
               now);
  const auto* window = std::get_if<UsageWindow>(&call.content);
  Note note{"provider_call_failed",
            window != nullptr
                ? DescribeWindow(*window)
                : DescribeOrder(std::get<ServerOrder>(call.content))};
  note.inputs.emplace_back("token", absl::StrCat(call.token.value()));
  if (outcome == ProviderOutcome::kAccepted) {
    note.kind = window != nullptr ? "usage_reported" : "servers_ordered";
  } else {
    note.inputs.emplace_back("outcome", ToString(outcome));
  }
  output->notes.push_back(std::move(note));
  if (window != nullptr) {
    OnUsageEnded(call, outcome, now, output);
  } else {
    OnOrderEnded(call, outcome, now, output);
  }
}

void DutyDriver::Record(DutyToken token,
                        ProviderOutcome outcome,
                        MonoTime now,
                        CallHistory* history) {
  if (outcome == ProviderOutcome::kAccepted) {
    history->failures = 0;
  } else if (outcome != ProviderOutcome::kNotSent) {
    ++history->failures;
  }
  if (outcome == ProviderOutcome::kConflict) {
    history->conflict_token = std::max(history->conflict_token, token);
    history->not_before = now + kConflictBackoff;
  }
}

void DutyDriver::OnProposalAnswer(uint64_t id, bool committed) {
  const auto found = proposed_.find(id);
  if (found == proposed_.end()) {
    return;
  }
  const Command command = std::move(found->second);
  proposed_.erase(found);
  if (committed) {
    return;
  }
  if (const auto* usage = std::get_if<UsageSettlement>(&command)) {
    reported_.erase(usage->number);
  } else if (const auto* order = std::get_if<OrderSettlement>(&command)) {
    ordered_.erase(order->order.subject);
  }
}

void DutyDriver::OnUsageEnded(const ProviderCall& call,
                              ProviderOutcome outcome,
                              MonoTime now,
                              Output* output) {
  const UsageWindowNumber number = std::get<UsageWindow>(call.content).number;
  if (call.id >= first_call_of_term_) {
    Record(call.token, outcome, now, &reports_);
  }
  if (outcome == ProviderOutcome::kAccepted) {
    // The content is the same in all terms, so this settles the window also
    // when another holder has taken over.
    reported_.insert(number);
    Propose(UsageSettlement{number}, output);
  }
}

void DutyDriver::OnOrderEnded(const ProviderCall& call,
                              ProviderOutcome outcome,
                              MonoTime now,
                              Output* output) {
  const auto& order = std::get<ServerOrder>(call.content);
  if (outcome == ProviderOutcome::kAccepted) {
    Propose(OrderSettlement{order, call.token, call.id}, output);
  }
  if (call.id < first_call_of_term_) {
    // Another holder may have ordered since.
    return;
  }
  OrderProgress& progress = progress_[order.subject];
  Record(call.token, outcome, now, &progress.calls);
  if (outcome == ProviderOutcome::kUnknown) {
    progress.is_uncertain = true;
  } else if (outcome == ProviderOutcome::kAccepted) {
    progress.is_uncertain = false;
    progress.accepted_at = now;
    progress.differs_since.reset();
    ordered_[order.subject] = order.count;
  }
}

}  // namespace camphorsail
