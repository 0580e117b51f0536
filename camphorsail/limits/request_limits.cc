#include "camphorsail/limits/request_limits.h"

#include <algorithm>
#include <cmath>

namespace camphorsail {
namespace {

/// The entry of an account without requests for this long is dropped, so that
/// memory use is bounded by the accounts in use. At one token per second, a
/// request of 4096 tokens delays later ones by 1.1 hours; the negative level of
/// its bucket must not be lost before that.
constexpr absl::Duration kEntryLifetime = absl::Hours(2);
/// Weight of the newest interval in the smoothed mean length of answers.
constexpr double kMeanGain = 0.25;

}  // namespace

Expected<RequestLimits::AdmitResult> RequestLimits::Admit(
    const ClientAccountId& account,
    Try attempt,
    MonoTime now) {
  absl::MutexLock lock(&mutex_);
  const auto [position, inserted] = accounts_.try_emplace(account);
  Entry& entry = position->second;
  if (attempt == Try::kFirst) {
    if (!entry.share.IsValid(now) &&
        (inserted || now - entry.last_request >= kLimitLease)) {
      entry.wait_until = now + kLimitDemandInterval;
      entry.report_due = true;
      first_report_due_ = true;
      // Restarts the measurement of demand, so that the rate is not averaged
      // over the period without requests.
      entry.share.TakeDemand(now);
    }
    entry.last_request = now;
    entry.share.CountRequest(Tokens(0));
  }
  Expected<void> admitted = entry.share.Admit(Tokens(0), now);
  if (admitted) {
    return AdmitResult::kAdmitted;
  }
  // A first share may be too small for one more request until the other VMs
  // have given up part of theirs, so the request waits. It does not wait when
  // requests in progress use up the share.
  const bool share_used_up =
      entry.share.IsValid(now) && entry.share.in_progress() > 0 &&
      entry.share.in_progress() >= entry.share.Share(now).concurrency;
  if (now < entry.wait_until && !share_used_up) {
    return AdmitResult::kWait;
  }
  // The tokens of refused requests are demand too. Otherwise a VM whose
  // requests are all refused would report no demand for tokens and never get a
  // larger share.
  entry.share.CountRefusal(Tokens(std::llround(entry.mean_tokens)), now);
  return tl::unexpected<Error>(admitted.error());
}

void RequestLimits::ChargeTokens(const ClientAccountId& account,
                                 Tokens tokens,
                                 MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Entry& entry = accounts_[account];
  entry.share.ChargeTokens(tokens, now);
  entry.charged_tokens += tokens.value();
}

void RequestLimits::Release(const ClientAccountId& account, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Entry& entry = accounts_[account];
  entry.share.Finish(Tokens(0), Tokens(0), now);
  ++entry.ended_requests;
}

std::vector<LimitDemand> RequestLimits::PollDemand(MonoTime now) {
  std::vector<LimitDemand> demands;
  absl::MutexLock lock(&mutex_);
  const bool all = now >= next_report_;
  if (!first_report_due_ && !all) {
    return demands;
  }
  first_report_due_ = false;
  if (all) {
    next_report_ = now + kLimitDemandInterval;
  }
  for (auto& [account, entry] : accounts_) {
    if (entry.share.in_progress() == 0 &&
        now - entry.last_request >= kLimitLease) {
      continue;
    }
    // A demand measured over a few milliseconds gives no useful rate. A report
    // that is sent at once for a first request therefore contains only the
    // accounts whose first request it is, and the next regular report leaves
    // these accounts out when it follows shortly after.
    if (!entry.report_due &&
        (!all || now - entry.reported_at < kLimitDemandInterval / 2)) {
      continue;
    }
    entry.report_due = false;
    entry.reported_at = now;
    if (entry.ended_requests > 0) {
      const double mean = static_cast<double>(entry.charged_tokens) /
                          static_cast<double>(entry.ended_requests);
      entry.mean_tokens += kMeanGain * (mean - entry.mean_tokens);
      entry.charged_tokens = 0;
      entry.ended_requests = 0;
    }
    demands.push_back({account, entry.share.TakeDemand(now),
                       entry.share.held_grant(), entry.share.in_progress()});
  }
  absl::erase_if(accounts_, [now](const auto& item) {
    return item.second.share.in_progress() == 0 &&
           now - item.second.last_request >= kEntryLifetime;
  });
  // The map's order differs between runs; the messages must be deterministic.
  std::sort(demands.begin(), demands.end(),
            [](const LimitDemand& a, const LimitDemand& b) {
              return a.account < b.account;
            });
  return demands;
}

void RequestLimits::OnGrants(const std::vector<LimitGrant>& grants,
                             MonoTime report_sent_at,
                             MonoTime now) {
  absl::MutexLock lock(&mutex_);
  for (const LimitGrant& grant : grants) {
    const auto position = accounts_.find(grant.account);
    if (position != accounts_.end()) {
      position->second.share.OnGrant(grant, report_sent_at, now);
    }
  }
}

int64_t RequestLimits::InProgress(const ClientAccountId& account) const {
  absl::MutexLock lock(&mutex_);
  const auto position = accounts_.find(account);
  return position == accounts_.end() ? 0 : position->second.share.in_progress();
}

}  // namespace camphorsail
