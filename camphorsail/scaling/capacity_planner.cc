#include "camphorsail/scaling/capacity_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "camphorsail/scaling/server_division.h"

namespace camphorsail {
namespace {

/// Time from the first announcement until all servers have announced
/// themselves; they do so every second or so.
constexpr absl::Duration kDiscoveryTime = absl::Seconds(3);
/// Fraction of the planned servers that may be starting while others are given
/// back.
constexpr double kStartingFraction = 0.05;
/// Fraction of a failure domain's reclaimable servers that leave at the same
/// time when the provider reclaims them, and of the planned servers of a
/// subject that are missing when it is lost.
constexpr double kLossFraction = 0.5;
/// Number of servers left by a reclaim that is not worth an order for each.
constexpr int kFewServers = 3;
/// Time from the end of a server's start until its announcement has reached the
/// holder of the duties, and from an order until the provider carries it out.
constexpr absl::Duration kSettleMargin = absl::Seconds(4);

constexpr ServerTenure kTenures[] = {ServerTenure::kRegular,
                                     ServerTenure::kReclaimable};

absl::Duration SettleTime(const ScalingProfile& scaling) {
  return absl::Milliseconds(scaling.boot_time_ms) + kSettleMargin;
}

int PresentServers(const ServiceCapacity& capacity) {
  int present = 0;
  for (const auto& [domain, supply] : capacity.domains) {
    present += supply.regular.present + supply.reclaimable.present;
  }
  return present;
}

ServerOrderSubject OtherTenure(ServerOrderSubject subject) {
  subject.tenure = subject.tenure == ServerTenure::kRegular
                       ? ServerTenure::kReclaimable
                       : ServerTenure::kRegular;
  return subject;
}

/// @return The count below which no order may lead. Regular servers alone keep
/// the provider's lower limit.
int SmallestCount(const ScalingProfile& scaling, ServerTenure tenure) {
  return tenure == ServerTenure::kRegular ? scaling.min_servers : 0;
}

/// @return Planned servers beyond the target, which are given back or
/// exchanged.
int Excess(const SubjectPlan& subject, int target) {
  return subject.is_lost ? 0 : std::max(0, subject.count - target);
}

/// @return True when the provider has accepted an order for every subject.
bool IsAllOrdered(const ServiceCapacity& capacity) {
  return std::all_of(capacity.domains.begin(), capacity.domains.end(),
                     [&](const auto& item) {
                       const DomainSupply& supply = item.second;
                       return supply.regular.ordered.has_value() &&
                              (capacity.scaling.reclaimable_price <= 0 ||
                               supply.reclaimable.ordered.has_value());
                     });
}

/// @return The servers that an earlier holder of the duties, or the operators,
/// found necessary.
int InitialServers(const ServiceCapacity& capacity, double change_fraction) {
  int regular = 0;
  int reclaimable = 0;
  for (const auto& [domain, supply] : capacity.domains) {
    regular += supply.regular.ordered.value_or(supply.regular.present);
    reclaimable +=
        supply.reclaimable.ordered.value_or(supply.reclaimable.present);
  }
  if (!IsAllOrdered(capacity)) {
    // Before the first change of kind has ended, both kinds are there for the
    // same need.
    return std::max(regular, reclaimable);
  }
  // The orders may contain a step of servers that are being exchanged. Without
  // this every new holder would add a step.
  return static_cast<int>(
      std::ceil((regular + reclaimable) / (1 + change_fraction)));
}

}  // namespace

void CapacityPlanner::OnShortage(const ServerOrderSubject& subject,
                                 MonoTime now) {
  const auto service = services_.find(subject.service);
  if (service == services_.end()) {
    return;
  }
  const auto found = service->second.subjects.find(subject);
  if (found != service->second.subjects.end()) {
    found->second.short_until = now + settings_.shortage_time;
    found->second.is_refused = true;
  }
}

int CapacityPlanner::Step(int servers) const {
  return std::max(
      1, static_cast<int>(std::ceil(servers * settings_.change_fraction)));
}

void CapacityPlanner::AddSubjects(const ServiceCapacity& capacity,
                                  MonoTime now,
                                  ServicePlan* plan) const {
  // The provider has no servers any more in a failure domain that is gone.
  std::erase_if(plan->subjects, [&](const auto& item) {
    return !capacity.domains.contains(item.first.failure_domain);
  });
  for (const auto& [domain, supply] : capacity.domains) {
    for (const ServerTenure tenure : kTenures) {
      const auto [it, is_new] =
          plan->subjects.try_emplace({capacity.service, domain, tenure});
      if (!is_new) {
        continue;
      }
      const TenureSupply& servers = supply.Of(tenure);
      SubjectPlan& subject = it->second;
      subject.count = std::max(servers.ordered.value_or(servers.present),
                               SmallestCount(capacity.scaling, tenure));
      subject.ordered = servers.ordered;
      // When the last order was sent is not known; its servers may be starting.
      subject.ordered_at = now;
      subject.raised_at = now;
    }
  }
}

void CapacityPlanner::RecordSupply(const ServiceCapacity& capacity,
                                   MonoTime now,
                                   ServicePlan* plan) const {
  const absl::Duration settle_time = SettleTime(capacity.scaling);
  for (auto& [key, subject] : plan->subjects) {
    const auto found = capacity.domains.find(key.failure_domain);
    const DomainSupply supply =
        found == capacity.domains.end() ? DomainSupply() : found->second;
    const TenureSupply& servers = supply.Of(key.tenure);
    subject.present = servers.present;
    if (subject.ordered != servers.ordered) {
      subject.ordered = servers.ordered;
      subject.ordered_at = now;
    }
    const int all = servers.present + supply.reclaimable_leaving;
    if (key.tenure == ServerTenure::kReclaimable &&
        supply.reclaimable_leaving > all * kLossFraction) {
      subject.short_until = now + settings_.shortage_time;
      subject.count = std::min(
          subject.count, servers.present > kFewServers ? servers.present : 0);
    }
    if (std::exchange(subject.is_refused, false)) {
      // What was accepted before may still be starting.
      const bool is_starting = now - *subject.ordered_at < settle_time;
      const int had =
          is_starting ? std::max(servers.present, subject.ordered.value_or(0))
                      : servers.present;
      subject.count = std::max(std::min(subject.count, had),
                               SmallestCount(capacity.scaling, key.tenure));
    }
    if (subject.present >= subject.count * kLossFraction) {
      subject.missing_since.reset();
    } else if (!subject.missing_since.has_value()) {
      subject.missing_since = now;
    }
    // After the first settle time the order is sent again.
    subject.is_lost = subject.missing_since.has_value() &&
                      now - *subject.missing_since > 2 * settle_time;
  }
}

void CapacityPlanner::UpdateTotal(const ServiceCapacity& capacity,
                                  MonoTime now,
                                  ServicePlan* plan) const {
  const auto domains = static_cast<int>(capacity.domains.size());
  const DemandHistory& demand = plan->demand;
  double needed = std::max(demand.Peak(), demand.average() * settings_.burst) /
                  settings_.target_utilization;
  if (domains > 1) {
    // What is left without one failure domain has to serve the demand.
    const double left = 1 - 1.0 / domains;
    needed = std::max(needed,
                      demand.average() / settings_.target_utilization / left);
  }
  int total = static_cast<int>(std::ceil(needed));
  if (now - plan->first_seen < settings_.memory) {
    total = std::max(total, plan->initial_servers);
  }
  total = std::clamp(total, capacity.scaling.min_servers * domains,
                     capacity.scaling.max_servers * domains);
  // A smaller change is left alone until it adds up to a step.
  if (plan->total == 0 || std::abs(total - plan->total) >= Step(plan->total)) {
    plan->total = total;
  }
}

void CapacityPlanner::Release(const std::map<ServerOrderSubject, int>& target,
                              const ChangeBounds& change,
                              MonoTime now,
                              ServicePlan* plan) const {
  int usable = 0;
  int all_excess = 0;
  std::vector<std::pair<int, ServerOrderSubject>> excess;
  for (const auto& [key, subject] : plan->subjects) {
    usable += std::min(subject.present, subject.count);
    if (const int count = Excess(subject, target.at(key)); count > 0) {
      excess.emplace_back(count, key);
      all_excess += count;
    }
  }
  const int surplus = usable - plan->total;
  if (now < plan->next_release || surplus <= 0 ||
      all_excess < change.smallest) {
    return;
  }
  // Regular servers first, as they cost more.
  std::sort(excess.begin(), excess.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.tenure, -a.first) <
           std::pair(b.second.tenure, -b.first);
  });
  int budget = std::min(surplus, change.largest);
  for (const auto& [count, key] : excess) {
    const int released = std::min(count, budget);
    plan->subjects[key].count -= released;
    budget -= released;
    if (released > 0) {
      plan->next_release = now + settings_.release_interval;
    }
  }
}

void CapacityPlanner::Raise(const std::map<ServerOrderSubject, int>& target,
                            const ChangeBounds& change,
                            int max_servers,
                            MonoTime now,
                            ServicePlan* plan) const {
  int expected = 0;
  int excess = 0;
  int wanted = 0;
  std::vector<std::pair<int, ServerOrderSubject>> deficits;
  for (const auto& [key, subject] : plan->subjects) {
    expected += subject.Expected();
    excess += Excess(subject, target.at(key));
    if (const int deficit = target.at(key) - subject.count; deficit > 0) {
      deficits.emplace_back(deficit, key);
      wanted += deficit;
    }
  }
  const int missing = std::max(0, plan->total - expected);
  int budget = missing;
  if (excess >= change.smallest) {
    budget = std::max(
        missing, plan->total + std::min(wanted, change.largest) - expected);
  }
  // The largest parts first, so that few orders are sent.
  std::sort(deficits.begin(), deficits.end(), [](const auto& a, const auto& b) {
    return std::pair(-a.first, a.second) < std::pair(-b.first, b.second);
  });
  for (const auto& [deficit, key] : deficits) {
    SubjectPlan& subject = plan->subjects[key];
    // The provider's limit holds for both kinds together at any time, so an
    // order that gives some back must have been accepted before.
    int others = 0;
    if (const auto other = plan->subjects.find(OtherTenure(key));
        other != plan->subjects.end()) {
      others = std::max(other->second.count,
                        other->second.ordered.value_or(other->second.present));
    }
    const int raised =
        std::min({deficit, budget, max_servers - others - subject.count});
    if (raised > 0) {
      subject.count += raised;
      subject.raised_at = now;
      budget -= raised;
    }
  }
}

std::vector<WantedServers> CapacityPlanner::Plan(
    const ServiceCapacity& capacity,
    MonoTime now) {
  const int present = PresentServers(capacity);
  if (present == 0) {
    return {};
  }
  const auto [service, is_new] =
      services_.try_emplace(capacity.service, settings_);
  ServicePlan& plan = service->second;
  if (is_new) {
    plan.first_seen = now;
  }
  // What arrives includes what is refused or was read before; what is occupied
  // lags behind a rise.
  plan.demand.Record(std::max(capacity.occupied,
                              (capacity.arriving_work + capacity.occupied) / 2),
                     now);
  if (present > plan.most_present) {
    plan.most_present = present;
    plan.grown_at = now;
  }
  if (now - plan.first_seen < kDiscoveryTime) {
    return {};
  }
  if (plan.subjects.empty()) {
    // Without an order, the servers that are present are what the plan starts
    // from, so all of them must be known.
    if (!IsAllOrdered(capacity) && now - plan.grown_at < kDiscoveryTime) {
      return {};
    }
    plan.initial_servers = InitialServers(capacity, settings_.change_fraction);
  }
  AddSubjects(capacity, now, &plan);
  RecordSupply(capacity, now, &plan);
  UpdateTotal(capacity, now, &plan);

  const absl::Duration settle_time = SettleTime(capacity.scaling);
  std::map<ServerOrderSubject, int> caps;
  int starting = 0;
  for (const auto& [key, subject] : plan.subjects) {
    caps[key] = subject.is_lost        ? subject.present
                : subject.IsShort(now) ? subject.count
                                       : capacity.scaling.max_servers;
    starting += subject.Starting(settle_time, now);
  }
  const std::map<ServerOrderSubject, int> target =
      DivideServers(capacity.scaling, settings_, plan.total, caps);
  ChangeBounds change{Step(plan.total), Step(plan.total)};
  if (plan.demand.Peak() <= 0) {
    // Before the first requests no prompt prefix has a home.
    change = {1, capacity.scaling.max_servers *
                     static_cast<int>(capacity.domains.size())};
  }
  if (starting <= plan.total * kStartingFraction) {
    Release(target, change, now, &plan);
  } else {
    change.largest = 0;
  }
  Raise(target, change, capacity.scaling.max_servers, now, &plan);

  std::vector<WantedServers> wanted;
  wanted.reserve(plan.subjects.size());
  for (const auto& [key, subject] : plan.subjects) {
    if (key.tenure == ServerTenure::kReclaimable &&
        capacity.scaling.reclaimable_price <= 0) {
      continue;
    }
    WantedServers servers;
    servers.order = {key, subject.count};
    servers.present = subject.present;
    servers.settle_time = settle_time;
    wanted.push_back(std::move(servers));
  }
  return wanted;
}

}  // namespace camphorsail
