#include "camphorsail/orders/order_planner.h"

#include <algorithm>
#include <utility>

namespace camphorsail {

OrderPlanner::OrderPlanner(const OrderPlannerSettings& settings,
                           TermNumber term,
                           MonoTime elected_at)
    : settings_(settings), term_(term), elected_at_(elected_at) {}

OrderPlanner::Plan OrderPlanner::Step(
    const OrderStore& store,
    const std::map<BackendServerId, EngineInfo>& engines,
    MonoTime now,
    MonoTime quorum_contact) {
  Plan plan;
  // When the highest recorded token has reached the token of a proposal, the
  // proposal was applied, or it will be rejected.
  std::erase_if(proposed_, [&](const auto& entry) {
    return entry.second.token <= store.highest_token();
  });
  const auto is_unknown = [&](const auto& entry) {
    return !engines.contains(entry.first) &&
           store.FindOpen(entry.first) == nullptr;
  };
  std::erase_if(sent_, is_unknown);
  std::erase_if(state_requests_, is_unknown);
  for (const auto& [server, intent] : store.open()) {
    const auto engine = engines.find(server);
    if (engine == engines.end()) {
      continue;
    }
    const auto sent = sent_.find(server);
    const bool was_sent =
        sent != sent_.end() && sent->second.token == intent.token;
    if (intent.token.term == term_ && !was_sent &&
        engine->second.incarnation == intent.incarnation) {
      if (MaySend(engine->second, now, quorum_contact)) {
        sent_[server] = {intent.token, now, false};
        plan.send.push_back(intent);
      }
      continue;
    }
    // While the order may still run, a request for the state would only find it
    // running.
    if (was_sent && !sent->second.has_ended && !HasEnded(intent, now)) {
      continue;
    }
    Observe(store, server, now, &plan);
  }
  for (const auto& [server, desired] : store.desired()) {
    const auto engine = engines.find(server);
    if (engine == engines.end()) {
      continue;
    }
    const OrderObservation* observed = store.FindObserved(server);
    if ((observed == nullptr ||
         observed->incarnation != engine->second.incarnation) &&
        store.FindOpen(server) == nullptr && !proposed_.contains(server)) {
      Observe(store, server, now, &plan);
    }
  }
  PlanOrders(store, engines, now, &plan);
  return plan;
}

void OrderPlanner::Observe(const OrderStore& store,
                           const BackendServerId& server,
                           MonoTime now,
                           Plan* plan) {
  const auto last = state_requests_.find(server);
  if (last == state_requests_.end() ||
      now - last->second.at >= settings_.observe_interval) {
    const FencingToken token = NextToken(store);
    state_requests_[server] = {now, token};
    plan->observe.push_back({server, token});
  }
}

void OrderPlanner::PlanOrders(
    const OrderStore& store,
    const std::map<BackendServerId, EngineInfo>& engines,
    MonoTime now,
    Plan* plan) {
  size_t loads = 0;
  for (const auto& [server, intent] : store.open()) {
    loads +=
        intent.operation == OrderOperation::kLoad && !HasEnded(intent, now);
  }
  for (const auto& [server, intent] : proposed_) {
    loads += intent.operation == OrderOperation::kLoad;
  }
  std::vector<const DesiredEngine*> by_priority;
  by_priority.reserve(store.desired().size());
  for (const auto& [server, desired] : store.desired()) {
    by_priority.push_back(&desired);
  }
  std::stable_sort(by_priority.begin(), by_priority.end(),
                   [](const DesiredEngine* a, const DesiredEngine* b) {
                     return a->load_priority > b->load_priority;
                   });
  for (const DesiredEngine* desired : by_priority) {
    const BackendServerId& server = desired->server;
    const auto engine = engines.find(server);
    const OrderObservation* observed = store.FindObserved(server);
    if (engine == engines.end() || observed == nullptr ||
        observed->incarnation != engine->second.incarnation ||
        store.FindOpen(server) != nullptr || proposed_.contains(server)) {
      continue;
    }
    auto intent = NextOrder(*desired, *observed);
    if (!intent) {
      continue;
    }
    if (intent->operation == OrderOperation::kLoad) {
      if (loads >= settings_.max_simultaneous_loads) {
        continue;
      }
      ++loads;
    }
    intent->token = NextToken(store);
    proposed_[server] = *intent;
    plan->propose.push_back(std::move(*intent));
  }
}

std::optional<OrderIntent> OrderPlanner::NextOrder(
    const DesiredEngine& desired,
    const OrderObservation& observed) const {
  OrderIntent intent;
  intent.server = desired.server;
  intent.incarnation = observed.incarnation;
  if (observed.state.role != desired.state.role) {
    intent.operation = OrderOperation::kSetRole;
    intent.role = desired.state.role;
    return intent;
  }
  const auto& have = observed.state.artifacts;
  const auto& want = desired.state.artifacts;
  // Artifacts are unloaded before others are loaded, because the engine may not
  // have memory for both.
  for (const Artifact& artifact : have) {
    if (std::find(want.begin(), want.end(), artifact) == want.end()) {
      intent.operation = OrderOperation::kUnload;
      intent.artifact = artifact;
      return intent;
    }
  }
  for (const Artifact& artifact : want) {
    if (std::find(have.begin(), have.end(), artifact) == have.end()) {
      intent.operation = OrderOperation::kLoad;
      intent.artifact = artifact;
      return intent;
    }
  }
  return std::nullopt;
}

FencingToken OrderPlanner::NextToken(const OrderStore& store) {
  const FencingToken& highest = store.highest_token();
  if (highest.term == term_) {
    counter_ = std::max(counter_, highest.counter);
  }
  return {term_, ++counter_};
}

bool OrderPlanner::HasEnded(const OrderIntent& intent, MonoTime now) const {
  if (intent.token.term != term_) {
    return EarlierLeasesEnded(now);
  }
  const auto sent = sent_.find(intent.server);
  return sent != sent_.end() && sent->second.token == intent.token &&
         (sent->second.has_ended ||
          now >= sent->second.at + settings_.max_order_duration);
}

bool OrderPlanner::MaySend(const EngineInfo& engine,
                           MonoTime now,
                           MonoTime quorum_contact) const {
  // For engines that check tokens, this condition is needed only to limit the
  // loads that an isolated leader starts, because its successor does not
  // count them.
  if (now + settings_.max_order_duration >
      quorum_contact + settings_.order_lease * settings_.lease_fraction) {
    return false;
  }
  return engine.checks_fencing_tokens || EarlierLeasesEnded(now);
}

bool OrderPlanner::EarlierLeasesEnded(MonoTime now) const {
  return !settings_.wait_for_order_lease ||
         now >= elected_at_ + settings_.order_lease;
}

void OrderPlanner::OnAnswer(const BackendServerId& server,
                            const FencingToken& token) {
  const auto sent = sent_.find(server);
  if (sent != sent_.end() && sent->second.token == token) {
    sent->second.has_ended = true;
  }
}

void OrderPlanner::OnProposalRejected(const OrderIntent& intent) {
  const auto proposed = proposed_.find(intent.server);
  if (proposed != proposed_.end() && proposed->second.token == intent.token) {
    proposed_.erase(proposed);
  }
}

OrderObservation OrderPlanner::OnObserved(
    const OrderStore& store,
    const EngineInfo& engine,
    const EngineObservation& observation) const {
  OrderObservation out;
  out.server = observation.server;
  out.incarnation = observation.incarnation;
  out.state = observation.state;
  out.token = observation.token;
  std::sort(out.state.artifacts.begin(), out.state.artifacts.end());
  const OrderIntent* open = store.FindOpen(observation.server);
  const auto requested = state_requests_.find(observation.server);
  // Only an answer to the latest request settles the order: the time of an
  // earlier request is no longer known here.
  if (open == nullptr || observation.busy || observation.token < open->token ||
      requested == state_requests_.end() ||
      requested->second.token != observation.token) {
    return out;
  }
  // The engine is idle, so the open order is not running. It is settled only
  // when it also cannot start later: the engine now rejects its token, or the
  // order had ended before the state was requested.
  if (engine.checks_fencing_tokens || HasEnded(*open, requested->second.at)) {
    out.settled = open->token;
  }
  return out;
}

}  // namespace camphorsail
