#include "camphorsail/placement/backend_server.h"

#include <algorithm>

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
                                   bool is_interactive,
                                   MonoTime now) {
  ++in_flight_;
  interactive_streams_ += is_interactive ? 1 : 0;
  if (unread_prefill_ <= absl::ZeroDuration()) {
    reading_since_ = now;
  }
  unread_prefill_ += prefill;
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

void BackendServer::OnPromptDone(absl::Duration prefill, MonoTime now) {
  unread_prefill_ = std::max(absl::ZeroDuration(), unread_prefill_ - prefill);
  reading_since_ = now;
}

void BackendServer::OnFinished(bool is_interactive, MonoTime /*now*/) {
  --in_flight_;
  interactive_streams_ -= is_interactive ? 1 : 0;
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
  if (load.answers > 0) {
    answered_others_at_ = now;
  }
}

double BackendServer::OtherGatewaysLoad(MonoTime now) const {
  if (now - other_gateways_at_ < kSharedLoadLifetime) {
    return other_gateways_.in_flight;
  }
  const int others =
      report_.running + report_.waiting - own_in_flight_at_report_;
  return std::max(0, others) * ReportWeight(now);
}

absl::Duration BackendServer::PromptBacklog(MonoTime now) const {
  if (now - other_gateways_at_ >= kSharedLoadLifetime) {
    return OwnBacklog(now);
  }
  return OwnBacklog(now) +
         std::max(absl::ZeroDuration(),
                  absl::Milliseconds(other_gateways_.backlog_ms) -
                      (now - other_gateways_at_));
}

absl::Duration BackendServer::OwnBacklog(MonoTime now) const {
  // The engine has been reading prompts since the latest one was finished.
  return std::max(absl::ZeroDuration(),
                  unread_prefill_ - (now - reading_since_));
}

}  // namespace camphorsail
