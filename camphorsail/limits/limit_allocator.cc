#include "camphorsail/limits/limit_allocator.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace camphorsail {
namespace {

/// Rounds `parts` to whole numbers that add up to `total` (largest remainder
/// method). Each part is rounded down; the units that are left go to the parts
/// with the largest fractions, and among equal fractions to the first ones.
std::vector<int64_t> RoundPreservingTotal(const std::vector<double>& parts,
                                          int64_t total) {
  std::vector<int64_t> whole(parts.size());
  std::vector<size_t> order(parts.size());
  std::iota(order.begin(), order.end(), size_t{0});
  int64_t left = total;
  for (size_t i = 0; i < parts.size(); ++i) {
    whole[i] = static_cast<int64_t>(std::floor(parts[i]));
    left -= whole[i];
  }
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return parts[a] - std::floor(parts[a]) > parts[b] - std::floor(parts[b]);
  });
  for (size_t i = 0; i < order.size() && left > 0; ++i, --left) {
    ++whole[order[i]];
  }
  return whole;
}

}  // namespace

std::vector<double> DivideByDemand(double amount,
                                   const std::vector<double>& demands) {
  std::vector<double> parts(demands.size(), 0.0);
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t a, size_t b) { return demands[a] < demands[b]; });
  double left = amount;
  for (size_t i = 0; i < order.size(); ++i) {
    const auto parties = static_cast<double>(order.size() - i);
    parts[order[i]] = std::min(demands[order[i]], left / parties);
    left -= parts[order[i]];
  }
  for (double& part : parts) {
    part += left / static_cast<double>(parts.size());
  }
  return parts;
}

LimitAllocator::LimitAllocator(const LimitAllocatorSettings& settings,
                               TermNumber term,
                               MonoTime elected_at)
    : settings_(settings),
      first_grant_at_(elected_at + settings.new_leader_wait),
      next_grant_((term.value() << 40) + 1) {}

void LimitAllocator::SetLimits(std::map<ClientAccountId, LimitAmounts> limits) {
  limits_ = std::move(limits);
  std::erase_if(accounts_, [&](const auto& account) {
    return !limits_.contains(account.first);
  });
}

LimitGrantBatch LimitAllocator::OnDemand(const LimitDemandReport& report,
                                         MonoTime now,
                                         MonoTime quorum_contact) {
  LimitGrantBatch batch;
  batch.vm = report.vm;
  batch.report_sequence = report.sequence;
  const bool may_grant = now >= first_grant_at_ &&
                         now - quorum_contact < settings_.quorum_contact_limit;
  for (const LimitDemand& demand : report.demands) {
    const auto limit = limits_.find(demand.account);
    if (limit == limits_.end()) {
      continue;
    }
    Holders& holders = accounts_[demand.account];
    DropExpired(&holders, now);
    Holder& holder = holders[report.vm];
    holder.demand = demand.demand;
    holder.reported_at = now;
    holder.in_progress = demand.in_progress;
    std::erase_if(holder.outstanding, [&](const OutstandingGrant& outstanding) {
      return outstanding.grant < demand.held_grant;
    });
    if (!may_grant) {
      continue;
    }
    const LimitAmounts target = TargetShare(holders, report.vm, limit->second);
    const LimitAmounts grantable =
        GrantableAmounts(holders, report.vm, limit->second);
    LimitGrant& grant = batch.grants.emplace_back();
    grant.account = demand.account;
    grant.grant = next_grant_++;
    grant.share = {std::min(target.requests_per_s, grantable.requests_per_s),
                   std::min(target.tokens_per_s, grantable.tokens_per_s),
                   std::min(target.concurrency, grantable.concurrency)};
    holder.outstanding.push_back(
        {grant.grant, grant.share, now + settings_.lease});
  }
  return batch;
}

void LimitAllocator::Release(const VmId& vm) {
  for (auto& [account, holders] : accounts_) {
    holders.erase(vm);
  }
}

void LimitAllocator::DropExpired(Holders* holders, MonoTime now) const {
  for (auto& [vm, holder] : *holders) {
    std::erase_if(holder.outstanding, [&](const OutstandingGrant& outstanding) {
      return outstanding.expires <= now;
    });
  }
  std::erase_if(*holders, [&](const auto& entry) {
    return entry.second.outstanding.empty() &&
           now - entry.second.reported_at >= settings_.lease;
  });
}

LimitAmounts LimitAllocator::GrantableAmounts(const Holders& holders,
                                              const VmId& vm,
                                              const LimitAmounts& limit) const {
  LimitAmounts left = limit;
  for (const auto& [other, holder] : holders) {
    if (other == vm) {
      continue;
    }
    // The VM holds one of its outstanding grants. Which one is not known, so
    // the largest amount of each resource is assumed.
    LimitAmounts largest_share;
    for (const OutstandingGrant& outstanding : holder.outstanding) {
      largest_share.requests_per_s = std::max(largest_share.requests_per_s,
                                              outstanding.share.requests_per_s);
      largest_share.tokens_per_s =
          std::max(largest_share.tokens_per_s, outstanding.share.tokens_per_s);
      largest_share.concurrency =
          std::max(largest_share.concurrency, outstanding.share.concurrency);
    }
    // Requests that were admitted under a larger share go on under a smaller
    // one and still count.
    largest_share.concurrency =
        std::max(largest_share.concurrency, holder.in_progress);
    // An unlimited resource is granted to each VM without limit.
    if (limit.requests_per_s != LimitAmounts::kUnlimitedRate) {
      left.requests_per_s -= largest_share.requests_per_s;
    }
    if (limit.tokens_per_s != LimitAmounts::kUnlimitedRate) {
      left.tokens_per_s -= largest_share.tokens_per_s;
    }
    if (limit.concurrency != LimitAmounts::kUnlimitedCount) {
      left.concurrency -= largest_share.concurrency;
    }
  }
  return {std::max(left.requests_per_s, 0.0), std::max(left.tokens_per_s, 0.0),
          std::max<int64_t>(left.concurrency, 0)};
}

LimitAmounts LimitAllocator::TargetShare(const Holders& holders,
                                         const VmId& vm,
                                         const LimitAmounts& limit) const {
  std::vector<double> requests;
  std::vector<double> tokens;
  std::vector<double> concurrency;
  size_t position = 0;
  for (const auto& [holder_vm, holder] : holders) {
    if (holder_vm == vm) {
      position = requests.size();
    }
    requests.push_back(std::max(holder.demand.requests_per_s, 0.0));
    tokens.push_back(std::max(holder.demand.tokens_per_s, 0.0));
    concurrency.push_back(
        std::max(static_cast<double>(holder.demand.concurrency), 0.0));
  }
  const auto divide = [&](double amount, const std::vector<double>& demands) {
    const double even = amount * settings_.even_fraction;
    std::vector<double> parts = DivideByDemand(amount - even, demands);
    for (double& part : parts) {
      part += even / static_cast<double>(parts.size());
    }
    return parts;
  };
  LimitAmounts target = limit;
  if (limit.requests_per_s != LimitAmounts::kUnlimitedRate) {
    target.requests_per_s = divide(limit.requests_per_s, requests)[position];
  }
  if (limit.tokens_per_s != LimitAmounts::kUnlimitedRate) {
    target.tokens_per_s = divide(limit.tokens_per_s, tokens)[position];
  }
  if (limit.concurrency != LimitAmounts::kUnlimitedCount) {
    target.concurrency = RoundPreservingTotal(
        divide(static_cast<double>(limit.concurrency), concurrency),
        limit.concurrency)[position];
  }
  return target;
}

}  // namespace camphorsail
