#include "camphorsail/scheduling/server_state.h"

#include <algorithm>
#include <cassert>

namespace camphorsail {
namespace {

constexpr absl::Duration kSampleInterval = absl::Milliseconds(50);
// Tokens arrive in whole batch steps. Over this many tokens, the rounding
// changes the time per token by a few percent at most; with the few tokens of a
// short answer, healthy servers looked slow.
constexpr int64_t kTokensPerObservation = 32;
// The weight of a report falls linearly to zero over this time; an older report
// says nothing about the load from other VMs.
constexpr double kReportLifetimeSeconds = 5;

}  // namespace

ServerState::ServerState(const ServerView& view, HealthVariant health_variant)
    : id(view.server),
      incarnation(view.incarnation),
      failure_domain(view.failure_domain),
      health(health_variant) {
  ApplyView(view);
}

void ServerState::ApplyView(const ServerView& view) {
  capacity = std::max(1, view.capacity);
  failure_domain = view.failure_domain;
  reported_seconds_per_token = view.seconds_per_token;
  reported_requests_ = view.reported_running + view.reported_waiting;
  reported_at_ = view.reported_at;
  own_requests_at_report_ = OwnRequestsAt(view.reported_at);
}

bool ServerState::ObserveTokens(absl::Duration gap,
                                Tokens tokens,
                                double* seconds_per_token) {
  observed_seconds_ += absl::ToDoubleSeconds(gap);
  observed_tokens_ += tokens.value();
  if (observed_tokens_ < kTokensPerObservation) {
    return false;
  }
  *seconds_per_token =
      observed_seconds_ / static_cast<double>(observed_tokens_);
  observed_seconds_ = 0;
  observed_tokens_ = 0;
  return true;
}

void ServerState::OnDispatch(Tier tier, MonoTime now) {
  ++own_requests_[tier.value()];
  ++own_request_count_;
  RecordSample(now);
}

void ServerState::OnFinished(Tier tier, MonoTime now) {
  assert(own_requests_[tier.value()] > 0);
  --own_requests_[tier.value()];
  --own_request_count_;
  RecordSample(now);
}

int ServerState::OwnRequests(Tier tier) const {
  int sum = 0;
  for (int t = 0; t <= tier.value(); ++t) {
    sum += own_requests_[t];
  }
  return sum;
}

double ServerState::OtherVmsRequests(MonoTime now) const {
  const double age = absl::ToDoubleSeconds(now - reported_at_);
  const double weight = std::max(0.0, 1 - age / kReportLifetimeSeconds);
  return std::max(0, reported_requests_ - own_requests_at_report_) * weight;
}

void ServerState::RecordSample(MonoTime now) {
  Sample& last = samples_[(next_sample_ + kSampleCount - 1) % kSampleCount];
  if (now - last.at < kSampleInterval) {
    last.own_requests = own_request_count_;
    return;
  }
  samples_[next_sample_] = {now, own_request_count_};
  next_sample_ = (next_sample_ + 1) % kSampleCount;
}

int ServerState::OwnRequestsAt(MonoTime at) const {
  for (int i = 1; i <= kSampleCount; ++i) {
    const Sample& sample =
        samples_[(next_sample_ + kSampleCount - i) % kSampleCount];
    if (sample.at <= at) {
      return sample.own_requests;
    }
  }
  return samples_[next_sample_].own_requests;
}

}  // namespace camphorsail
