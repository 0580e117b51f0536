#include "camphorsail/control/order_driver.h"

namespace camphorsail {

void OrderDriver::OnEngines(const EnginesEvent& event) {
  engines_ = event.engines;
  next_plan_ = MonoTime();
}

void OrderDriver::OnCallResult(const EngineCallResultEvent& event,
                               const OrderStore& store,
                               Output* output) {
  // The call of an earlier term was made by the planner of that term.
  if (!planner_.has_value() || event.token.term != term_) {
    return;
  }
  next_plan_ = MonoTime();
  if (event.is_order) {
    if (event.has_ended) {
      planner_->OnAnswer(event.server, event.token);
    }
    return;
  }
  const auto engine = engines_.find(event.server);
  if (!event.observation.has_value() || engine == engines_.end() ||
      engine->second.incarnation != event.observation->incarnation) {
    return;
  }
  OrderObservation observation =
      planner_->OnObserved(store, engine->second, *event.observation);
  const OrderObservation* known = store.FindObserved(event.server);
  // A busy engine is asked for its state every second. An observation is
  // proposed to the log only when it changes something.
  if (known != nullptr && observation.settled == FencingToken() &&
      known->incarnation == observation.incarnation &&
      known->state == observation.state) {
    return;
  }
  output->proposals.push_back({next_proposal_++, std::move(observation)});
}

void OrderDriver::OnProposalAnswer(uint64_t id, bool committed) {
  const auto position = proposed_.find(id);
  if (position == proposed_.end()) {
    return;
  }
  // An intent with an unknown outcome may still be committed. A newer proposal
  // does no harm, because the state accepts at most one open order for each
  // server and no token below the highest one: only one of the two is accepted.
  if (!committed && planner_.has_value()) {
    planner_->OnProposalRejected(position->second);
  }
  proposed_.erase(position);
}

void OrderDriver::Advance(const std::optional<Leadership>& leadership,
                          const OrderStore& store,
                          MonoTime now,
                          Output* output) {
  next_plan_ = now + kPlanInterval;
  if (!leadership.has_value()) {
    planner_.reset();
    proposed_.clear();
    return;
  }
  if (!planner_.has_value() || term_ != leadership->term) {
    // `now` is later than the election. That is safe: it only makes the new
    // leader's wait for earlier leases longer.
    planner_.emplace(settings_, leadership->term, now);
    proposed_.clear();
    term_ = leadership->term;
  }
  if (store.desired().empty() && store.open().empty()) {
    return;
  }
  OrderPlanner::Plan plan =
      planner_->Step(store, engines_, now, leadership->quorum_contact);
  for (OrderIntent& intent : plan.propose) {
    proposed_.emplace(next_proposal_, intent);
    output->proposals.push_back({next_proposal_++, std::move(intent)});
  }
  for (OrderIntent& intent : plan.send) {
    EngineCallAction call;
    call.server = intent.server;
    call.incarnation = intent.incarnation;
    call.token = intent.token;
    call.order = std::move(intent);
    call.send_before = now + kSendTimeout;
    call.deadline = now + settings_.max_order_duration;
    output->calls.push_back(std::move(call));
  }
  for (const OrderPlanner::ObserveRequest& request : plan.observe) {
    EngineCallAction call;
    call.server = request.server;
    call.incarnation = engines_.at(request.server).incarnation;
    call.token = request.token;
    call.send_before = now + kSendTimeout;
    call.deadline = now + kObserveTimeout;
    output->calls.push_back(std::move(call));
  }
}

}  // namespace camphorsail
