#include "camphorsail/scaling/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace camphorsail {
namespace {

/// Time from the first announcement until all servers have announced
/// themselves; they do so every second or so.
constexpr absl::Duration kDiscoveryTime = absl::Seconds(3);
/// Fraction of the ordered reclaimable servers that must be present before
/// regular ones are given back for them.
constexpr double kReplacedFraction = 0.95;
/// Fraction of a failure domain's reclaimable servers that leave at the same
/// time when the provider reclaims them.
constexpr double kReclaimFraction = 0.5;
/// Time from the end of a server's start until its announcement has reached the
/// holder of the duties, and from an order until the provider carries it out.
constexpr absl::Duration kSettleMargin = absl::Seconds(4);

int PresentServers(const ServiceCapacity& capacity) {
  int present = 0;
  for (const auto& [domain, supply] : capacity.domains) {
    present += supply.regular + supply.reclaimable;
  }
  return present;
}

double PriceOf(const ScalingProfile& scaling, const FailureDomainId& domain) {
  const auto found = std::find_if(scaling.prices.begin(), scaling.prices.end(),
                                  [&](const FailureDomainPrice& price) {
                                    return price.failure_domain == domain;
                                  });
  return found == scaling.prices.end() || found->price <= 0 ? 1 : found->price;
}

/// Divides `total` in proportion to the weights, by largest remainders.
/// @param limits Largest part of each.
std::map<FailureDomainId, int> DivideByWeight(
    int total,
    const std::map<FailureDomainId, double>& weights,
    std::map<FailureDomainId, int> limits) {
  std::map<FailureDomainId, int> parts;
  for (; total > 0; --total) {
    // The next server goes where the quotient of weight and servers is largest
    // (Sainte-Laguë), which keeps the parts in proportion at every size.
    const FailureDomainId* best = nullptr;
    double best_quotient = 0;
    for (const auto& [domain, weight] : weights) {
      const double quotient = weight / (2.0 * parts[domain] + 1);
      if (parts[domain] < limits[domain] && quotient > best_quotient) {
        best = &domain;
        best_quotient = quotient;
      }
    }
    if (best == nullptr) {
      break;
    }
    ++parts[*best];
  }
  return parts;
}

}  // namespace

void CapacityPlanner::RecordDemand(const ServiceCapacity& capacity,
                                   ServiceHistory* history,
                                   MonoTime now) const {
  // What arrives includes what is refused or was read before; what is occupied
  // lags behind a rise.
  const double demand = std::max(
      capacity.occupied, (capacity.arriving_work + capacity.occupied) / 2);
  // Before the first requests there is nothing to average.
  if (history->average > 0) {
    const double weight =
        1 - std::exp(-absl::FDivDuration(now - history->averaged_at,
                                         settings_.average_time));
    history->average += weight * (demand - history->average);
  } else {
    history->average = demand;
  }
  history->averaged_at = now;
  std::deque<Sample>& peaks = history->peaks;
  while (!peaks.empty() && now - peaks.front().at > settings_.memory) {
    peaks.pop_front();
  }
  while (!peaks.empty() && peaks.back().servers <= demand) {
    peaks.pop_back();
  }
  peaks.push_back({now, demand});
}

void CapacityPlanner::RecordReclaims(const ServiceCapacity& capacity,
                                     ServiceHistory* history,
                                     MonoTime now) const {
  for (const auto& [domain, supply] : capacity.domains) {
    const int all = supply.reclaimable + supply.reclaimable_leaving;
    if (supply.reclaimable_leaving > all * kReclaimFraction) {
      history->short_until[domain] = now + settings_.shortage_time;
    }
  }
}

bool CapacityPlanner::IsShort(const ServiceHistory& history,
                              const FailureDomainId& domain,
                              MonoTime now) {
  const auto found = history.short_until.find(domain);
  return found != history.short_until.end() && now < found->second;
}

void CapacityPlanner::OnShortage(const ServerOrderSubject& subject,
                                 MonoTime now) {
  if (subject.tenure == ServerTenure::kReclaimable) {
    services_[subject.service].short_until[subject.failure_domain] =
        now + settings_.shortage_time;
  }
}

int CapacityPlanner::TotalServers(const ServiceCapacity& capacity,
                                  const ServiceHistory& history,
                                  MonoTime now) const {
  const double peak = history.peaks.empty() ? 0 : history.peaks.front().servers;
  double needed = std::max(peak, history.average * settings_.burst) /
                  settings_.target_utilization;
  if (capacity.domains.size() > 1) {
    // What is left without one failure domain has to serve the demand.
    const double left = 1 - 1.0 / static_cast<double>(capacity.domains.size());
    needed =
        std::max(needed, history.average / settings_.target_utilization / left);
  }
  int total = static_cast<int>(std::ceil(needed));
  if (now - history.first_seen < settings_.memory) {
    total = std::max(total, history.initial_servers);
  }
  const auto domains = static_cast<int>(capacity.domains.size());
  return std::clamp(total, capacity.scaling.min_servers * domains,
                    capacity.scaling.max_servers * domains);
}

std::map<ServerOrderSubject, int> CapacityPlanner::Divide(
    const ServiceCapacity& capacity,
    const ServiceHistory& history,
    int total,
    MonoTime now) const {
  const ScalingProfile& scaling = capacity.scaling;
  const bool has_reclaimable = scaling.reclaimable_price > 0;
  double price_sum = 0;
  for (const auto& [domain, supply] : capacity.domains) {
    price_sum += PriceOf(scaling, domain);
  }
  const double mean_price =
      price_sum / static_cast<double>(capacity.domains.size());
  std::map<FailureDomainId, double> weights;
  std::map<FailureDomainId, int> limits;
  for (const auto& [domain, supply] : capacity.domains) {
    weights[domain] =
        1 + std::clamp(1 - PriceOf(scaling, domain) / mean_price,
                       -settings_.price_preference, settings_.price_preference);
    limits[domain] = scaling.max_servers;
  }
  const int regular =
      has_reclaimable
          ? std::max(
                static_cast<int>(std::ceil(total * settings_.regular_fraction)),
                scaling.min_servers * static_cast<int>(weights.size()))
          : total;
  std::map<FailureDomainId, int> regular_parts =
      DivideByWeight(regular, weights, limits);
  std::map<FailureDomainId, int> reclaimable_limits;
  for (const auto& [domain, supply] : capacity.domains) {
    const int limit = limits[domain] - regular_parts[domain];
    reclaimable_limits[domain] = IsShort(history, domain, now)
                                     ? std::min(limit, supply.reclaimable)
                                     : limit;
  }
  std::map<FailureDomainId, int> reclaimable_parts =
      DivideByWeight(std::max(0, total - regular), weights, reclaimable_limits);
  int missing = std::max(0, total - regular);
  for (auto& [domain, limit] : limits) {
    missing -= reclaimable_parts[domain];
    limit -= reclaimable_parts[domain];
  }
  // What cannot be had as reclaimable servers is ordered as regular ones.
  regular_parts = DivideByWeight(regular + missing, weights, limits);
  std::map<ServerOrderSubject, int> plan;
  for (const auto& [domain, supply] : capacity.domains) {
    plan[{capacity.service, domain, ServerTenure::kRegular}] =
        regular_parts[domain];
    if (has_reclaimable) {
      plan[{capacity.service, domain, ServerTenure::kReclaimable}] =
          reclaimable_parts[domain];
    }
  }
  return plan;
}

void CapacityPlanner::LimitReleases(
    const ServiceCapacity& capacity,
    int total,
    ServiceHistory* history,
    MonoTime now,
    std::map<ServerOrderSubject, int>* plan) const {
  const bool is_idle = std::max(capacity.arriving_work, capacity.occupied) <= 0;
  int wanted_reclaimable = 0;
  int reclaimable = 0;
  for (const auto& [subject, count] : *plan) {
    if (subject.tenure == ServerTenure::kReclaimable) {
      wanted_reclaimable += count;
      reclaimable += capacity.domains.at(subject.failure_domain).reclaimable;
    }
  }
  const bool is_replaced =
      reclaimable >= wanted_reclaimable * kReplacedFraction;
  const bool may_release = is_replaced && now >= history->next_release;
  int budget = 0;
  if (may_release) {
    budget =
        is_idle
            ? total * 2
            : static_cast<int>(std::ceil(total * settings_.release_fraction));
  }
  bool has_released = false;
  for (auto& [subject, count] : *plan) {
    const DomainSupply& supply = capacity.domains.at(subject.failure_domain);
    const bool is_regular = subject.tenure == ServerTenure::kRegular;
    const auto planned = history->planned.find(subject);
    const int before = planned != history->planned.end() ? planned->second
                       : is_regular                      ? supply.regular
                                                         : supply.reclaimable;
    if (count >= before ||
        (!is_regular && IsShort(*history, subject.failure_domain, now))) {
      // The provider takes servers of a short failure domain away by itself.
      continue;
    }
    const int released = std::min(before - count, budget);
    budget -= released;
    has_released = has_released || released > 0;
    count = before - released;
  }
  if (has_released) {
    history->next_release = now + settings_.release_interval;
  }
  // The provider's limit holds for both kinds together.
  for (auto& [subject, count] : *plan) {
    if (subject.tenure == ServerTenure::kReclaimable) {
      ServerOrderSubject regular = subject;
      regular.tenure = ServerTenure::kRegular;
      count = std::clamp(
          count, 0,
          std::max(0, capacity.scaling.max_servers - plan->at(regular)));
    }
  }
}

std::vector<WantedServers> CapacityPlanner::Plan(
    const ServiceCapacity& capacity,
    MonoTime now) {
  const int present = PresentServers(capacity);
  if (present == 0 || capacity.domains.empty()) {
    return {};
  }
  ServiceHistory& history = services_[capacity.service];
  if (history.first_seen == MonoTime()) {
    history.first_seen = now;
  }
  RecordDemand(capacity, &history, now);
  RecordReclaims(capacity, &history, now);
  if (now - history.first_seen < kDiscoveryTime) {
    return {};
  }
  if (history.initial_servers == 0) {
    history.initial_servers =
        capacity.ordered_reclaimable > 0
            ? static_cast<int>(std::round(capacity.ordered_reclaimable /
                                          (1 - settings_.regular_fraction)))
            : present;
  }
  const int total = TotalServers(capacity, history, now);
  std::map<ServerOrderSubject, int> plan =
      Divide(capacity, history, total, now);
  LimitReleases(capacity, total, &history, now, &plan);
  history.planned = plan;
  std::vector<WantedServers> wanted;
  wanted.reserve(plan.size());
  for (const auto& [subject, count] : plan) {
    const DomainSupply& supply = capacity.domains.at(subject.failure_domain);
    WantedServers servers;
    servers.order = {subject, count};
    servers.present = subject.tenure == ServerTenure::kRegular
                          ? supply.regular
                          : supply.reclaimable;
    servers.settle_time =
        absl::Milliseconds(capacity.scaling.boot_time_ms) + kSettleMargin;
    wanted.push_back(std::move(servers));
  }
  return wanted;
}

}  // namespace camphorsail
