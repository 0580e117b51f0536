#include "camphorsail/control/limit_exchange.h"

#include <utility>

#include "camphorsail/limits/account_limits.h"

namespace camphorsail {

LimitExchange::LimitExchange(const LimitAllocatorSettings& settings,
                             VmId vm,
                             uint64_t first_sequence)
    : settings_(settings), vm_(std::move(vm)), next_sequence_(first_sequence) {}

LimitDemandReport LimitExchange::MakeReport(std::vector<LimitDemand> demands,
                                            MonoTime now) {
  // The lease of a grant starts when its report is sent, so the grants for
  // older reports have already expired.
  std::erase_if(report_times_, [now](const auto& report) {
    return now - report.second >= kLimitLease;
  });
  const uint64_t sequence = next_sequence_++;
  report_times_.emplace(sequence, now);
  return {vm_, sequence, std::move(demands)};
}

std::optional<PublishLimitsAction> LimitExchange::OnGrants(
    const LimitGrantBatch& batch,
    MonoTime now) {
  const auto sent = report_times_.find(batch.report_sequence);
  if (batch.vm != vm_ || sent == report_times_.end() ||
      now - sent->second >= kLimitLease) {
    return std::nullopt;
  }
  return PublishLimitsAction{batch.grants, sent->second};
}

void LimitExchange::SetLeadership(bool leads, TermNumber term, MonoTime now) {
  if (!leads) {
    allocator_.reset();
  } else if (!allocator_.has_value() || term_ != term) {
    allocator_.emplace(settings_, term, now);
    allocator_->SetLimits(limits_);
  }
  term_ = term;
}

void LimitExchange::SetSettings(const EffectiveSettings& settings) {
  std::vector<EffectiveAccount> accounts;
  for (const auto& [id, account] : settings.accounts) {
    accounts.push_back(account);
  }
  limits_ = CollectAccountLimits(accounts);
  if (allocator_.has_value()) {
    allocator_->SetLimits(limits_);
  }
}

LimitGrantBatch LimitExchange::OnReport(const LimitDemandReport& report,
                                        MonoTime now,
                                        MonoTime quorum_contact) {
  return allocator_.has_value()
             ? allocator_->OnDemand(report, now, quorum_contact)
             : LimitGrantBatch();
}

}  // namespace camphorsail
