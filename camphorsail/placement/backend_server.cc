#include "camphorsail/placement/backend_server.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorsail {
namespace {

/// Age at which a server's load report no longer counts in the estimate of the
/// other gateways' load.
constexpr double kReportLifetimeSeconds = 2;
/// Number of this gateway's later requests that have to be answered first
/// before a request that has waited for long counts as stuck. Fewer may just be
/// more urgent requests that overtook it in the server's queue.
constexpr int kMinOvertakingAnswers = 4;
/// Prompt backlog above which a server counts as busy. With a smaller backlog a
/// server has no reason to let a request wait.
constexpr absl::Duration kBusyBacklog = absl::Milliseconds(400);
/// Time for which the load shared by the other gateways is used. Long enough
/// for a few polls to be lost.
constexpr absl::Duration kSharedLoadLifetime = absl::Milliseconds(1500);

}  // namespace

uint64_t BackendServer::OnDispatch(absl::Duration prefill,
                                   Urgency urgency,
                                   MonoTime now) {
  ++in_flight_;
  wishes.OnDispatch(now);
  own_requests_.Add(urgency, 1);
  const bool was_idle = std::all_of(
      unread_prefill_.begin(), unread_prefill_.end(),
      [](absl::Duration unread) { return unread <= absl::ZeroDuration(); });
  if (was_idle) {
    reading_since_ = now;
  }
  unread_prefill_[urgency.value()] += prefill;
  return ++last_number_;
}

void BackendServer::OnFirstAnswer(uint64_t number, MonoTime now) {
  answered_numbers_.push_back(number);
  if (answered_numbers_.size() > kMaxAnsweredNumbers) {
    answered_numbers_.pop_front();
  }
  answered_at_ = now;
  ++new_answers_;
}

bool BackendServer::IsStuck(uint64_t number,
                            MonoTime dispatched_at,
                            MonoTime now) const {
  const bool is_busy = Load(now) > slots || PromptBacklog(now) > kBusyBacklog;
  if (std::max(answered_at_, answered_others_at_) <= dispatched_at ||
      !is_busy) {
    return true;
  }
  const auto overtaken =
      std::count_if(answered_numbers_.begin(), answered_numbers_.end(),
                    [&](uint64_t answered) { return answered > number; });
  return overtaken >= kMinOvertakingAnswers;
}

void BackendServer::OnPromptDone(absl::Duration prefill,
                                 Urgency urgency,
                                 MonoTime now) {
  absl::Duration& unread = unread_prefill_[urgency.value()];
  unread = std::max(absl::ZeroDuration(), unread - prefill);
  reading_since_ = now;
}

void BackendServer::OnFinished(Urgency urgency) {
  --in_flight_;
  own_requests_.Remove(urgency, 1);
}

GatewayServerLoad BackendServer::TakeOwnLoad(MonoTime now) {
  GatewayServerLoad load;
  load.server = hash;
  load.in_flight = static_cast<uint32_t>(in_flight_);
  load.answers = std::exchange(new_answers_, 0);
  load.late_answers = pace.TakeLateAnswers();
  load.requests_by_urgency = own_requests_;
  load.tokens_by_urgency = own_tokens_;
  const SpeedSamples speed_samples = speed.TakeOwn();
  if (speed.is_shared()) {
    load.speed = speed_samples;
  }
  // The engine reads the most urgent prompts first, so that what it has read
  // since it finished the latest prompt is taken from these.
  for (int level = 0; level < kUrgencyLevels; ++level) {
    const auto backlog_ms = static_cast<uint32_t>(
        absl::ToInt64Milliseconds(OwnBacklogUpTo(Urgency(level), now)));
    load.backlog_ms_by_urgency.Add(Urgency(level),
                                   backlog_ms - load.backlog_ms);
    load.backlog_ms = backlog_ms;
  }
  return load;
}

void BackendServer::OnReport(const ReportedLoad& load, MonoTime now) {
  report_ = load;
  reported_at_ = now;
  own_in_flight_at_report_ = in_flight_;
}

double BackendServer::ReportWeight(MonoTime now) const {
  const double age = absl::ToDoubleSeconds(now - reported_at_);
  return std::max(0.0, 1 - age / kReportLifetimeSeconds);
}

void BackendServer::OnOtherGatewaysLoad(const GatewayServerLoad& load,
                                        MonoTime now) {
  other_gateways_ = load;
  other_gateways_at_ = now;
  speed.OnOthers(load.speed, now);
  if (load.answers > 0) {
    answered_others_at_ = now;
  }
}

bool BackendServer::KnowsOtherGateways(MonoTime now) const {
  return now - other_gateways_at_ < kSharedLoadLifetime;
}

double BackendServer::OtherGatewaysLoad(MonoTime now) const {
  if (KnowsOtherGateways(now)) {
    return other_gateways_.in_flight;
  }
  const int others =
      report_.running + report_.waiting - own_in_flight_at_report_;
  return std::max(0, others) * ReportWeight(now);
}

ServerPace::Load BackendServer::PaceLoad(int gateways, MonoTime now) const {
  ServerPace::Load load{in_flight_, std::nullopt, slots, gateways};
  if (KnowsOtherGateways(now)) {
    load.others = other_gateways_.in_flight;
  }
  return load;
}

double BackendServer::LoadUpTo(Urgency urgency, MonoTime now) const {
  double less_urgent = own_requests_.LessUrgentThan(urgency);
  if (KnowsOtherGateways(now)) {
    less_urgent += other_gateways_.requests_by_urgency.LessUrgentThan(urgency);
  }
  return Load(now) - less_urgent;
}

UrgencyCounts BackendServer::RequestsByUrgency(MonoTime now) const {
  UrgencyCounts requests = own_requests_;
  if (KnowsOtherGateways(now)) {
    requests += other_gateways_.requests_by_urgency;
  }
  return requests;
}

double BackendServer::TokensUpTo(Urgency urgency, MonoTime now) const {
  UrgencyCounts tokens = own_tokens_;
  if (KnowsOtherGateways(now)) {
    tokens += other_gateways_.tokens_by_urgency;
  }
  const double load = LoadUpTo(urgency, now);
  const double running = load > slots ? slots / load : 1;
  return running * (tokens.at(urgency) + tokens.MoreUrgentThan(urgency));
}

absl::Duration BackendServer::BacklogUpTo(Urgency urgency, MonoTime now) const {
  const absl::Duration own = OwnBacklogUpTo(urgency, now);
  if (!KnowsOtherGateways(now)) {
    return own;
  }
  const uint32_t others_ms =
      other_gateways_.backlog_ms -
      other_gateways_.backlog_ms_by_urgency.LessUrgentThan(urgency);
  return own + std::max(absl::ZeroDuration(), absl::Milliseconds(others_ms) -
                                                  (now - other_gateways_at_));
}

absl::Duration BackendServer::OwnBacklogUpTo(Urgency urgency,
                                             MonoTime now) const {
  absl::Duration unread;
  for (int level = 0; level <= urgency.value(); ++level) {
    unread += unread_prefill_[level];
  }
  // The engine has been reading prompts since the latest one was finished.
  return std::max(absl::ZeroDuration(), unread - (now - reading_since_));
}

}  // namespace camphorsail
