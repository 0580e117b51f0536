#include "camphorsail/gateway/backend_server.h"

#include <algorithm>

namespace camphorsail {
namespace {

/// Age at which a server's load report no longer counts in the estimate of the
/// other gateways' load.
constexpr double kReportLifetimeSeconds = 2;
/// Number of this gateway's later requests that have to be answered first
/// before a request that has waited for long counts as stuck. Fewer may just be
/// more urgent requests that overtook it in the server's queue.
constexpr int kOvertakenWhenStuck = 4;
/// Prompt backlog above which a server counts as busy. With a smaller backlog a
/// server has no reason to let a request wait.
constexpr absl::Duration kBusyBacklog = absl::Milliseconds(400);
/// Time for which the load shared by the other gateways is used. Long enough
/// for a few polls to be lost.
constexpr absl::Duration kSharedLifetime = absl::Milliseconds(1500);

}  // namespace

uint64_t BackendServer::OnDispatch(absl::Duration prefill,
                                   bool is_quick,
                                   MonoTime now) {
  ++in_flight_;
  quick_streams_ += is_quick ? 1 : 0;
  if (unread_prompts_ <= absl::ZeroDuration()) {
    reading_since_ = now;
  }
  unread_prompts_ += prefill;
  return ++last_number_;
}

void BackendServer::OnFirstAnswer(uint64_t number, MonoTime now) {
  answered_.push_back(number);
  if (answered_.size() > kAnswersKept) {
    answered_.pop_front();
  }
  answered_at_ = now;
}

bool BackendServer::IsStuck(uint64_t number,
                            MonoTime dispatched_at,
                            MonoTime now) const {
  const bool is_busy = Load(now) > slots || PromptBacklog(now) > kBusyBacklog;
  if (answered_at_ <= dispatched_at || !is_busy) {
    return true;
  }
  const auto overtaken =
      std::count_if(answered_.begin(), answered_.end(),
                    [&](uint64_t answered) { return answered > number; });
  return overtaken >= kOvertakenWhenStuck;
}

void BackendServer::OnPromptDone(absl::Duration prefill, MonoTime now) {
  unread_prompts_ = std::max(absl::ZeroDuration(), unread_prompts_ - prefill);
  reading_since_ = now;
}

void BackendServer::OnFinished(bool is_quick, MonoTime /*now*/) {
  --in_flight_;
  quick_streams_ -= is_quick ? 1 : 0;
}

void BackendServer::OnReport(const ReportedLoad& load, MonoTime now) {
  report_ = load;
  reported_at_ = now;
  own_at_report_ = in_flight_;
}

double BackendServer::ReportWeight(MonoTime now) const {
  const double age = absl::ToDoubleSeconds(now - reported_at_);
  return std::max(0.0, 1 - age / kReportLifetimeSeconds);
}

void BackendServer::OnOthersLoad(const EngineLoad& load, MonoTime now) {
  others_ = load;
  others_at_ = now;
}

double BackendServer::OthersLoad(MonoTime now) const {
  if (now - others_at_ < kSharedLifetime) {
    return others_.in_flight;
  }
  const int others = report_.running + report_.waiting - own_at_report_;
  return std::max(0, others) * ReportWeight(now);
}

absl::Duration BackendServer::PromptBacklog(MonoTime now) const {
  if (now - others_at_ >= kSharedLifetime) {
    return OwnBacklog(now);
  }
  return OwnBacklog(now) +
         std::max(absl::ZeroDuration(),
                  absl::Milliseconds(others_.backlog_ms) - (now - others_at_));
}

absl::Duration BackendServer::OwnBacklog(MonoTime now) const {
  // The engine has been reading prompts since the latest one was finished.
  return std::max(absl::ZeroDuration(),
                  unread_prompts_ - (now - reading_since_));
}

}  // namespace camphorsail
