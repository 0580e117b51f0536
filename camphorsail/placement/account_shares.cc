#include "camphorsail/placement/account_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>
#include <vector>

namespace camphorsail {
namespace {

/// Time for which a refusal counts as overload.
constexpr absl::Duration kOverloadPeriod = absl::Seconds(2);
/// Part of the work below which refusals are not divided by account: an average
/// that decays never becomes zero.
constexpr double kLeastPart = 0.005;
/// Part of the room that the shares leave open. The requests within the shares
/// then do not fill the queue at the servers by chance, and those above them
/// take what is left.
constexpr double kMargin = 0.1;
/// Least work of a request: while the speed of the engines is not known yet,
/// the accounts are compared by their numbers of requests.
constexpr double kLeastRequestMs = 1;
/// An account with less work, in milliseconds per second, is forgotten.
constexpr double kLeastWorkMs = 0.01;

double Sum(const UrgencyFractions& amounts) {
  return std::accumulate(amounts.begin(), amounts.end(), 0.0);
}

UrgencyFractions ToAmounts(const UrgencyCounts& counts) {
  UrgencyFractions amounts{};
  for (int level = 0; level < kUrgencyLevels; ++level) {
    amounts[level] = counts.at(Urgency(level));
  }
  return amounts;
}

UrgencyCounts ToCounts(const UrgencyFractions& amounts) {
  UrgencyCounts counts;
  for (int level = 0; level < kUrgencyLevels; ++level) {
    counts.Add(Urgency(level),
               static_cast<uint32_t>(std::lround(amounts[level])));
  }
  return counts;
}

}  // namespace

UrgencyFractions AccountShares::Decayed(const Work& work, MonoTime now) {
  UrgencyFractions amounts = work.amounts;
  const double factor =
      std::exp(-absl::FDivDuration(now - work.at, work.time_constant));
  for (double& amount : amounts) {
    amount *= factor;
  }
  return amounts;
}

void AccountShares::Add(Urgency urgency,
                        double work_ms,
                        MonoTime now,
                        Work* work) {
  work->amounts = Decayed(*work, now);
  work->at = now;
  work->amounts[urgency.value()] +=
      work_ms / absl::ToDoubleSeconds(work->time_constant);
}

void AccountShares::OnArrival(AccountHash account,
                              Urgency urgency,
                              double work_ms,
                              MonoTime now) {
  Add(urgency, std::max(work_ms, kLeastRequestMs), now, &own_[account]);
}

void AccountShares::OnRefusedLate(Urgency urgency,
                                  double work_ms,
                                  MonoTime now) {
  Add(urgency, std::max(work_ms, kLeastRequestMs), now, &refused_late_);
  refused_late_at_ = now;
}

void AccountShares::OnFleetWork(const ServiceAccountWork& work, MonoTime now) {
  if (work.is_complete || !IsFleetWorkRecent(now)) {
    fleet_.clear();
  }
  for (const AccountWork& entry : work.accounts) {
    fleet_[entry.account] = ToAmounts(entry.work);
  }
  fleet_work_ = work;
  fleet_at_ = now;
}

bool AccountShares::IsFleetWorkRecent(MonoTime now) const {
  return fleet_at_.has_value() && now - *fleet_at_ < kFleetWorkLifetime;
}

bool AccountShares::IsOverloaded(MonoTime now) const {
  return (refused_late_at_.has_value() &&
          now - *refused_late_at_ < kOverloadPeriod) ||
         (IsFleetWorkRecent(now) && TotalWork(fleet_work_.refused) > 0);
}

double AccountShares::WeightOf(AccountHash account) const {
  if (weights_ == nullptr) {
    return 1;
  }
  const auto found = weights_->find(account);
  return found == weights_->end() ? 1 : found->second;
}

void AccountShares::Forget(MonoTime now) {
  absl::erase_if(own_, [&](const auto& item) {
    return Sum(Decayed(item.second, now)) < kLeastWorkMs;
  });
}

void AccountShares::Update(const UrgencyFractions& closed, MonoTime now) {
  if (divided_at_.has_value() && now - *divided_at_ < kDivideInterval) {
    return;
  }
  divided_at_ = now;
  Forget(now);
  parts_.clear();
  other_parts_ = Parts();
  has_other_parts_ = false;
  share_.fill(std::numeric_limits<double>::infinity());
  refused_ = {};

  std::vector<AccountHash> accounts;
  std::vector<AccountDemand> demands;
  const auto add = [&](AccountHash account, const UrgencyFractions& work) {
    if (Sum(work) > 0) {
      accounts.push_back(account);
      demands.push_back({.weight = WeightOf(account), .work = work});
    }
  };
  UrgencyFractions late = Decayed(refused_late_, now);
  if (IsFleetWorkRecent(now)) {
    late = ToAmounts(fleet_work_.refused);
    for (const auto& [account, work] : fleet_) {
      // What this gateway has counted may be newer.
      UrgencyFractions known = work;
      if (const auto own = own_.find(account); own != own_.end()) {
        const UrgencyFractions counted = Decayed(own->second, now);
        for (int level = 0; level < kUrgencyLevels; ++level) {
          known[level] = std::max(known[level], counted[level]);
        }
      }
      add(account, known);
    }
    for (const auto& [account, work] : own_) {
      if (fleet_work_.other_accounts == 0 && !fleet_.contains(account)) {
        add(account, Decayed(work, now));
      }
    }
    if (fleet_work_.other_accounts > 0) {
      has_other_parts_ = true;
      AccountDemand others{
          .accounts = static_cast<double>(fleet_work_.other_accounts),
          .work = ToAmounts(fleet_work_.other_work)};
      for (double& work : others.work) {
        work /= others.accounts;
      }
      demands.push_back(others);
    }
  } else {
    for (const auto& [account, work] : own_) {
      add(account, Decayed(work, now));
    }
  }

  UrgencyFractions total = closed;
  for (int level = 0; level < kUrgencyLevels; ++level) {
    double work = 0;
    for (const AccountDemand& demand : demands) {
      work += demand.accounts * demand.work[level];
    }
    if (const double part = work > 0 ? late[level] / work : 0;
        part >= kLeastPart) {
      total[level] =
          1 - std::max(0.0, 1 - closed[level] - part) * (1 - kMargin);
    }
  }
  if (Sum(total) <= 0) {
    return;
  }
  const AccountDivision by_closed = DivideByAccount(demands, closed);
  const AccountDivision by_total = DivideByAccount(demands, total);
  share_ = by_total.share;
  refused_ = total;
  for (size_t i = 0; i < demands.size(); ++i) {
    Parts& parts = i < accounts.size() ? parts_[accounts[i]] : other_parts_;
    parts.closed = by_closed.refused[i];
    for (int level = 0; level < kUrgencyLevels; ++level) {
      const double accepted = 1 - parts.closed[level];
      parts.above[level] =
          accepted <= 0
              ? 0
              : std::clamp((by_total.refused[i][level] - parts.closed[level]) /
                               accepted,
                           0.0, 1.0);
    }
  }
}

const AccountShares::Parts& AccountShares::PartsOf(AccountHash account) const {
  static const Parts none;
  const auto found = parts_.find(account);
  return found != parts_.end() ? found->second
         : has_other_parts_    ? other_parts_
                               : none;
}

double AccountShares::ClosedPart(AccountHash account, Urgency urgency) const {
  return PartsOf(account).closed[urgency.value()];
}

double AccountShares::AbovePart(AccountHash account, Urgency urgency) const {
  return PartsOf(account).above[urgency.value()];
}

AccountShares::Standing AccountShares::StandingOf(AccountHash account,
                                                  Urgency urgency,
                                                  MonoTime now) const {
  Standing standing;
  standing.share_ms = share_[urgency.value()] * WeightOf(account);
  const double accepted_of_all = 1 - refused_[urgency.value()];
  if (accepted_of_all > 0) {
    standing.served_ratio = (1 - ClosedPart(account, urgency)) *
                            (1 - AbovePart(account, urgency)) / accepted_of_all;
  }
  if (const auto known = fleet_.find(account);
      known != fleet_.end() && IsFleetWorkRecent(now)) {
    standing.work_ms = Sum(known->second);
  } else if (const auto own = own_.find(account); own != own_.end()) {
    standing.work_ms = Sum(Decayed(own->second, now));
  }
  return standing;
}

ServiceAccountWork AccountShares::OwnWork(MonoTime now) const {
  ServiceAccountWork work;
  for (const auto& [account, own] : own_) {
    if (const UrgencyCounts counts = ToCounts(Decayed(own, now));
        TotalWork(counts) > 0) {
      work.accounts.push_back({account, counts});
    }
  }
  work.refused = ToCounts(Decayed(refused_late_, now));
  return work;
}

std::optional<ServiceAccountWork> AccountShares::TakeReport(bool is_refusing,
                                                            size_t max_accounts,
                                                            MonoTime now) {
  if (!is_refusing) {
    if (std::exchange(reported_at_, std::nullopt).has_value()) {
      ReportAll();
    }
    return std::nullopt;
  }
  if (reported_at_.has_value() && now - *reported_at_ < kReportInterval) {
    return std::nullopt;
  }
  reported_at_ = now;
  return reporter_.Next(OwnWork(now), max_accounts, now);
}

}  // namespace camphorsail
