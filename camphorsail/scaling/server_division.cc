#include "camphorsail/scaling/server_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace camphorsail {
namespace {

/// What bounds the number of servers in one failure domain.
struct DomainBounds {
  double weight = 1;
  /// Largest counts of each tenure.
  int regular_cap = 0;
  int reclaimable_cap = 0;
};

double PriceOf(const ScalingProfile& scaling, const FailureDomainId& domain) {
  const auto found = std::find_if(scaling.prices.begin(), scaling.prices.end(),
                                  [&](const FailureDomainPrice& price) {
                                    return price.failure_domain == domain;
                                  });
  return found == scaling.prices.end() || found->price <= 0 ? 1 : found->price;
}

/// Divides `total` in proportion to the weights.
/// @param parts Smallest part of each; the parts are added.
/// @param limits Largest part of each.
/// @return What is left because of the limits.
int DivideByWeight(int total,
                   const std::vector<DomainBounds>& domains,
                   const std::vector<int>& limits,
                   std::vector<int>* parts) {
  total -= std::accumulate(parts->begin(), parts->end(), 0);
  for (; total > 0; --total) {
    // The next server goes where the quotient of weight and servers is largest
    // (Sainte-Laguë), which keeps the parts in proportion at every size.
    size_t best = domains.size();
    double best_quotient = 0;
    for (size_t i = 0; i < domains.size(); ++i) {
      const double quotient = domains[i].weight / (2.0 * (*parts)[i] + 1);
      if ((*parts)[i] < limits[i] && quotient > best_quotient) {
        best = i;
        best_quotient = quotient;
      }
    }
    if (best == domains.size()) {
      return total;
    }
    ++(*parts)[best];
  }
  return 0;
}

}  // namespace

std::map<ServerOrderSubject, int> DivideServers(
    const ScalingProfile& scaling,
    const CapacityPlannerSettings& settings,
    int total,
    const std::map<ServerOrderSubject, int>& caps) {
  std::map<FailureDomainId, DomainBounds> bounds;
  double price_sum = 0;
  for (const auto& [subject, cap] : caps) {
    const auto [it, is_new] = bounds.try_emplace(subject.failure_domain);
    price_sum += is_new ? PriceOf(scaling, subject.failure_domain) : 0;
    (subject.tenure == ServerTenure::kRegular ? it->second.regular_cap
                                              : it->second.reclaimable_cap) =
        std::min(cap, scaling.max_servers);
  }
  const double mean_price = price_sum / static_cast<double>(bounds.size());
  std::vector<DomainBounds> domains;
  std::vector<int> regular;
  std::vector<int> regular_limits;
  for (auto& [domain, bound] : bounds) {
    bound.weight =
        1 + std::clamp(1 - PriceOf(scaling, domain) / mean_price,
                       -settings.price_preference, settings.price_preference);
    domains.push_back(bound);
    regular_limits.push_back(bound.regular_cap);
    // Regular servers alone keep the provider's lower limit, so that a reclaim
    // does not lead below it.
    regular.push_back(std::min(scaling.min_servers, bound.regular_cap));
  }
  const bool has_reclaimable = scaling.reclaimable_price > 0;
  const int wanted_regular =
      has_reclaimable
          ? std::max(
                static_cast<int>(std::ceil(total * settings.regular_fraction)),
                scaling.min_servers * static_cast<int>(domains.size()))
          : total;
  int left = DivideByWeight(wanted_regular, domains, regular_limits, &regular);
  std::vector<int> reclaimable(domains.size(), 0);
  if (has_reclaimable) {
    std::vector<int> limits;
    for (size_t i = 0; i < domains.size(); ++i) {
      limits.push_back(std::min(domains[i].reclaimable_cap,
                                scaling.max_servers - regular[i]));
    }
    left = DivideByWeight(std::max(0, total - wanted_regular) + left, domains,
                          limits, &reclaimable);
    // The rest is ordered as regular servers.
    for (size_t i = 0; i < domains.size(); ++i) {
      regular_limits[i] =
          std::min(regular_limits[i], scaling.max_servers - reclaimable[i]);
    }
    const int regular_sum = std::accumulate(regular.begin(), regular.end(), 0);
    DivideByWeight(regular_sum + left, domains, regular_limits, &regular);
  }
  std::map<ServerOrderSubject, int> division;
  for (const auto& [subject, cap] : caps) {
    const auto index = static_cast<size_t>(
        std::distance(bounds.begin(), bounds.find(subject.failure_domain)));
    division[subject] = subject.tenure == ServerTenure::kRegular
                            ? regular[index]
                            : reclaimable[index];
  }
  return division;
}

}  // namespace camphorsail
