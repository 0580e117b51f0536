#include <algorithm>
#include <string_view>
#include <utility>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/gateway/gateway.h"
#include "camphorsail/process/log_event.h"

// The part of the gateway that decides on requests to overloaded services.
namespace camphorsail {
namespace {

/// A request is refused when the best server is full and the start of the
/// answer is expected later than this fraction of the latency objective,
/// because a late answer has little value and delays other requests.
constexpr double kAdmissionObjectiveFraction = 0.9;
/// Shortest time after which a refused caller is asked to retry.
constexpr absl::Duration kRetryAfter = absl::Milliseconds(300);
/// Time after which a caller is asked to retry when the gateway is not ready.
constexpr absl::Duration kRetryAfterNotReady = absl::Milliseconds(800);
/// Shortest time after which a caller is asked to retry when its request was
/// refused for more urgent ones; the longest is twice that. Longer than the
/// shares of the requests that are refused need to follow the load.
constexpr absl::Duration kRetryAfterClosed = absl::Milliseconds(1500);
/// Upper bound of these times, as a fraction of the time until the caller's
/// deadline. Callers ignore a longer `Retry-After`.
constexpr double kRetryAfterFraction = 0.3;
/// Times to retry are spread from this part of the longest one to all of it,
/// so that callers who were refused together do not return together.
constexpr double kRetryAfterSpread = 0.5;

/// @return Why a request is refused.
std::string_view ReasonOf(AdmissionGate::Verdict verdict) {
  switch (verdict) {
    case AdmissionGate::Verdict::kClosed:
      return "more urgent requests are late";
    case AdmissionGate::Verdict::kAboveShare:
      return "the account asks for more than its share";
    default:
      return "the start of the answer is expected later than the latency "
             "objective allows";
  }
}

}  // namespace

absl::Duration Gateway::AdmissionLimit(const Exchange& exchange,
                                       const PlacementChoice& choice) const {
  const Route& route = *exchange.route;
  if (!exchange.service->is_engine || route.objective_ms == 0) {
    return absl::InfiniteDuration();
  }
  // The time that the caller still waits does not tell how long it has waited:
  // some callers wait for less than the route allows from the start.
  const absl::Duration limit =
      absl::Milliseconds(route.objective_ms) * kAdmissionObjectiveFraction;
  // An engine with free slots is full too when it has too many prompts to read.
  const bool has_room =
      !choice.is_memory_full &&
      choice.server->Load(loop_->now()) < choice.server->slots &&
      choice.queue <= limit;
  return has_room ? absl::InfiniteDuration() : limit;
}

void Gateway::SetAccountWeights() {
  account_weights_.clear();
  const RoutingTable& table = index_->table();
  has_account_shares_ = table.requires_api_keys && table.accounts.size() > 1;
  for (const AccountKeys& account : table.accounts) {
    if (account.weight != 1) {
      account_weights_[HashOf(account.account)] = account.weight;
    }
  }
}

void Gateway::CountForAccount(Exchange* exchange, double work_ms) {
  if (!has_account_shares_) {
    return;
  }
  exchange->account_request = {HashOf(exchange->account), work_ms};
  AccountShares& accounts = ModelOf(*exchange).admission().accounts();
  accounts.SetWeights(&account_weights_);
  accounts.OnArrival(exchange->account_request->account,
                     exchange->placement.urgency, work_ms, loop_->now());
}

bool Gateway::AdmitOrRefuse(Exchange* exchange, const PlacementChoice& choice) {
  const absl::Duration limit = AdmissionLimit(*exchange, choice);
  AdmissionGate& gate = ModelOf(*exchange).admission();
  const Urgency urgency = exchange->placement.urgency;
  const MonoTime now = loop_->now();
  const AdmissionGate::Verdict verdict =
      exchange->account_request.has_value()
          ? gate.Judge(urgency, *exchange->account_request, choice.expected,
                       limit, now)
          : gate.Judge(urgency, choice.expected, limit, now);
  const UrgencySet changed = gate.TakeChanges();
  for (int level = 0; level < kUrgencyLevels; ++level) {
    if (changed.Contains(Urgency(level))) {
      LogEvent("admission_changed")
          .Add("service", exchange->service->name)
          .Add("urgency", level)
          .Add("refused_share", gate.RefusedShare(Urgency(level)));
    }
  }
  if (verdict == AdmissionGate::Verdict::kAdmit) {
    return true;
  }
  exchange->refused_by = DescribeAdmission(*exchange, choice, limit);
  exchange->is_closed = verdict == AdmissionGate::Verdict::kClosed;
  Refuse(exchange, ErrorKind::kOverloaded, ReasonOf(verdict));
  return false;
}

std::vector<ServiceAdmissionState> Gateway::AdmissionStates() const {
  std::vector<ServiceAdmissionState> states;
  for (const auto& [service, model] : models_) {
    ServiceAdmissionState state = model.admission().OwnState(loop_->now());
    state.service = StableHash(service.value());
    if (!state.late.IsEmpty() || !state.started.IsEmpty()) {
      states.push_back(state);
    }
  }
  return states;
}

void Gateway::OnAdmissionStates(
    const std::vector<ServiceAdmissionState>& states) {
  for (auto& [service, model] : models_) {
    const uint64_t hash = StableHash(service.value());
    for (const ServiceAdmissionState& state : states) {
      if (state.service == hash) {
        model.admission().OnFleetState(state, loop_->now());
      }
    }
  }
}

std::vector<ServiceAccountWork> Gateway::TakeAccountWork(const VmId& replica) {
  const bool is_other =
      std::exchange(account_work_replica_, replica) != replica;
  size_t overloaded = 0;
  for (const auto& [service, model] : models_) {
    overloaded += model.admission().IsRefusing(loop_->now()) ? 1 : 0;
  }
  std::vector<ServiceAccountWork> work;
  if (overloaded == 0 || !has_account_shares_) {
    return work;
  }
  for (auto& [service, model] : models_) {
    AdmissionGate& gate = model.admission();
    if (is_other) {
      gate.accounts().ReportAll();
    }
    if (auto report = gate.accounts().TakeReport(
            gate.IsRefusing(loop_->now()),
            std::max<size_t>(1, kMaxSentAccounts / overloaded), loop_->now())) {
      report->service = StableHash(service.value());
      work.push_back(*std::move(report));
    }
  }
  return work;
}

void Gateway::OnFleetAccountWork(const std::vector<ServiceAccountWork>& work) {
  for (const ServiceAccountWork& of_service : work) {
    for (auto& [service, model] : models_) {
      if (StableHash(service.value()) == of_service.service) {
        model.admission().accounts().OnFleetWork(of_service, loop_->now());
      }
    }
  }
}

AdmissionCheck Gateway::DescribeAdmission(const Exchange& exchange,
                                          const PlacementChoice& choice,
                                          absl::Duration limit) {
  const MonoTime now = loop_->now();
  AdmissionCheck check;
  check.server = choice.server->id;
  check.load = choice.server->Load(now);
  check.slots = choice.server->slots;
  check.backlog = choice.server->PromptBacklog(now);
  check.expected = choice.expected;
  check.limit = limit;
  check.candidates = choice.candidates;
  const AdmissionGate& gate = ModelOf(exchange).admission();
  check.least_urgent_start = gate.Started(now).LeastUrgent();
  const Urgency urgency = exchange.placement.urgency;
  check.time_until_room = gate.TimeUntilRoom(urgency, choice.expected, limit);
  if (exchange.account_request.has_value()) {
    check.standing = gate.accounts().StandingOf(
        exchange.account_request->account, urgency, now);
  }
  return check;
}

absl::Duration Gateway::RetryAfter(const Exchange& exchange, ErrorKind kind) {
  const bool not_ready =
      kind == ErrorKind::kNotReady || kind == ErrorKind::kLeaseExpired;
  absl::Duration base = not_ready ? kRetryAfterNotReady : kRetryAfter;
  double spread = 1;
  if (exchange.refused_by.has_value()) {
    const AdmissionCheck& check = *exchange.refused_by;
    base = std::max(exchange.is_closed ? kRetryAfterClosed : kRetryAfter,
                    check.time_until_room);
    if (check.standing.has_value()) {
      // Room for an account that is above its share is expected later.
      base /= std::clamp(check.standing->served_ratio, kLeastServedRatio, 1.0);
    }
    base /= kRetryAfterSpread;
    spread = kRetryAfterSpread + (1 - kRetryAfterSpread) * random_.Uniform();
  }
  base = std::max({base, exchange.servers_rest_for, exchange.suspected_for});
  if (exchange.deadline != MonoTime::Infinite()) {
    base = std::clamp((exchange.deadline - loop_->now()) * kRetryAfterFraction,
                      absl::ZeroDuration(), base);
  }
  return base * spread;
}

}  // namespace camphorsail
