#include "camphorsail/limits/limit_share.h"

#include <algorithm>
#include <cassert>

namespace camphorsail {
namespace {

/// Upper bound of the `Retry-After` of a refusal: the shares follow the demand
/// within one lease, so a retry may succeed long before the calculated time.
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(60);
/// Time in which a change of demand moves a share from another VM to this one.
/// It takes the report of the other VM, the report in which that VM confirms
/// its smaller share, and the next report of this VM, 500 ms apart.
constexpr absl::Duration kShareMoveTime = absl::Seconds(2);

tl::unexpected<Error> LimitExceededError(const char* message,
                                         absl::Duration retry) {
  // With a share of zero, the time until a retry can succeed is infinite; it
  // can succeed after a larger share has been granted.
  return tl::unexpected<Error>(Error{ErrorKind::kAccountLimitExceeded, message,
                                     retry == absl::InfiniteDuration()
                                         ? kShareMoveTime
                                         : std::min(retry, kMaxRetryAfter)});
}

}  // namespace

void LimitShare::OnGrant(const LimitGrant& grant,
                         MonoTime report_sent_at,
                         MonoTime now) {
  if (grant.grant <= held_grant_) {
    return;
  }
  if (now >= lease_end_) {
    // Another VM may have held this share since the lease ended, so the buckets
    // must not fill for that time. Negative levels stay.
    requests_.SetRate(0, now);
    tokens_.SetRate(0, now);
  }
  held_grant_ = grant.grant;
  share_ = grant.share;
  lease_end_ = report_sent_at + kLimitLease * kLimitLeaseFraction;
  requests_.SetRate(share_.requests_per_s, now);
  tokens_.SetRate(share_.tokens_per_s, now);
}

Expected<void> LimitShare::CountAndAdmit(Tokens estimate, MonoTime now) {
  CountRequest(estimate);
  Expected<void> admitted = Admit(estimate, now);
  if (!admitted) {
    CountRefusal(Tokens(0), now);
  }
  return admitted;
}

void LimitShare::CountRequest(Tokens estimate) {
  demanded_requests_ += 1;
  demanded_tokens_ += static_cast<double>(estimate.value());
}

void LimitShare::CountRefusal(Tokens estimate, MonoTime now) {
  demanded_tokens_ += static_cast<double>(estimate.value());
  if (IsValid(now) && in_progress_ >= share_.concurrency) {
    ++refused_concurrency_;
  }
}

Expected<void> LimitShare::Admit(Tokens estimate, MonoTime now) {
  const auto tokens = static_cast<double>(estimate.value());
  if (now >= lease_end_) {
    return LimitExceededError(
        "the account's limits cannot be checked at present", kShareMoveTime);
  }
  if (in_progress_ >= share_.concurrency) {
    return LimitExceededError(
        "this VM's share of the account's limit of concurrent requests is used "
        "up",
        absl::Seconds(1));
  }
  if (!requests_.CanTake(1, now)) {
    return LimitExceededError(
        "this VM's share of the account's limit of requests per second is used "
        "up",
        requests_.TimeUntil(1, now));
  }
  if (!tokens_.CanTake(tokens, now)) {
    return LimitExceededError(
        "this VM's share of the account's limit of tokens per second is used "
        "up",
        tokens_.TimeUntil(tokens, now));
  }
  requests_.Take(1, now);
  tokens_.Take(tokens, now);
  ++in_progress_;
  return {};
}

void LimitShare::ChargeTokens(Tokens tokens, MonoTime now) {
  demanded_tokens_ += static_cast<double>(tokens.value());
  tokens_.Take(static_cast<double>(tokens.value()), now);
}

void LimitShare::Finish(Tokens estimate, Tokens actual, MonoTime now) {
  assert(in_progress_ > 0);
  --in_progress_;
  tokens_.Take(static_cast<double>(actual.value() - estimate.value()), now);
}

LimitAmounts LimitShare::TakeDemand(MonoTime now) {
  // The first report is sent right after the first request. The minimum keeps
  // one request in a few milliseconds from being reported as a rate of hundreds
  // per second.
  const double seconds = absl::ToDoubleSeconds(
      std::max(now - demand_from_, kLimitDemandInterval / 2));
  LimitAmounts demand;
  demand.requests_per_s = demanded_requests_ / seconds;
  demand.tokens_per_s = demanded_tokens_ / seconds;
  demand.concurrency = in_progress_ + refused_concurrency_;
  demanded_requests_ = 0;
  demanded_tokens_ = 0;
  refused_concurrency_ = 0;
  demand_from_ = now;
  return demand;
}

LimitAmounts LimitShare::Share(MonoTime now) const {
  return now < lease_end_ ? share_ : LimitAmounts();
}

}  // namespace camphorsail
