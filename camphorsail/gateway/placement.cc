#include "camphorsail/gateway/placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {
namespace {

/// Costs that differ by less are equal; the choice between them is random, so
/// that the gateways do not all choose the same server.
constexpr double kEqualMs = 1;
/// Batch steps before the first token of a request whose prompt is read.
constexpr double kFirstTokenSteps = 3;

/// @return True when `server` is one of the first `homes` in the order that the
/// prefix gives the servers.
std::vector<const BackendServer*> HomesOf(const BackendFleet::Servers& servers,
                                          uint64_t prefix,
                                          int homes) {
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (const auto& server : servers) {
    ranked.emplace_back(MixBits(prefix ^ Fnv1a64(server->id.value())),
                        server.get());
  }
  const size_t count =
      std::min<size_t>(static_cast<size_t>(homes), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<const BackendServer*> result;
  for (size_t i = 0; i < count; ++i) {
    result.push_back(ranked[i].second);
  }
  return result;
}

}  // namespace

double Placement::PrefillMs(double uncached, double whole) const {
  // Each new token is compared with all before it.
  const double pairs = uncached * (whole - uncached / 2);
  return uncached / settings_.prefill_tokens_per_ms +
         pairs / 1e6 * settings_.prefill_ms_per_million_pairs;
}

Placement::Estimate Placement::EstimateGeneration(
    const BackendServer& server,
    const PlacementRequest& request,
    bool is_home,
    MonoTime now) const {
  const auto whole = static_cast<double>(request.prompt_tokens.value());
  double cached =
      static_cast<double>(server.prefixes.Find(request.prefixes, now).value());
  if (is_home) {
    cached =
        static_cast<double>(request.prefixes.prefixes.back().tokens.value());
  }
  Estimate estimate;
  estimate.prefill_ms =
      PrefillMs(std::max(0.0, whole - std::min(cached, whole)), whole);
  const double load = server.Load(now);
  const double step = settings_.step_ms + settings_.step_ms_per_request * load;
  const double others_waiting = server.Waiting(now);
  const double over = std::max(0.0, load + 1 - server.slots);
  const double queue_ms =
      absl::ToDoubleMilliseconds(server.PromptBacklog(now)) +
      // A slot is free again after the rest of a stream.
      (others_waiting + over) * step * 20;
  estimate.expected_ms =
      (queue_ms + estimate.prefill_ms + kFirstTokenSteps * step) *
      server.health.Slowdown(now);
  estimate.cost_ms =
      estimate.expected_ms +
      settings_.interference * estimate.prefill_ms * server.quick_streams() +
      // Every stream of a fuller batch gets slower.
      load * settings_.step_ms_per_request * 50;
  return estimate;
}

Placement::Estimate Placement::EstimateCall(const BackendServer& server,
                                            MonoTime now) const {
  const double load = server.Load(now) + 1;
  const double queue = std::max(0.0, load - server.slots) / server.slots;
  Estimate estimate;
  estimate.expected_ms =
      settings_.call_ms * (1 + queue) * server.health.Slowdown(now);
  estimate.cost_ms =
      estimate.expected_ms + settings_.call_ms * load / server.slots;
  return estimate;
}

PlacementChoice Placement::Choose(const BackendFleet::Servers& servers,
                                  const PlacementRequest& request,
                                  MonoTime now) {
  std::vector<const BackendServer*> homes;
  if (request.is_generation && !request.prefixes.prefixes.empty()) {
    homes = HomesOf(servers, request.prefixes.prefixes.back().hash,
                    settings_.homes);
  }
  // Servers that seem to be down are used when there are no others.
  for (const bool open_only : {true, false}) {
    PlacementChoice best;
    double best_cost = std::numeric_limits<double>::infinity();
    int equal = 0;
    for (const auto& server : servers) {
      const bool tried = std::find(request.tried.begin(), request.tried.end(),
                                   server->id) != request.tried.end();
      if (tried || (open_only && !server->health.IsOpen(now))) {
        continue;
      }
      const bool is_home =
          std::find(homes.begin(), homes.end(), server.get()) != homes.end();
      Estimate estimate =
          request.is_generation
              ? EstimateGeneration(*server, request, is_home, now)
              : EstimateCall(*server, now);
      estimate.cost_ms +=
          settings_.failure_ms * server->health.FailureRate(now);
      if (server->failure_domain != settings_.failure_domain) {
        estimate.cost_ms += settings_.other_domain_ms;
      }
      if (estimate.cost_ms < best_cost - kEqualMs) {
        equal = 0;
      } else if (estimate.cost_ms > best_cost + kEqualMs ||
                 random_.Below(static_cast<uint64_t>(++equal) + 1) != 0) {
        continue;
      }
      best_cost = std::min(best_cost, estimate.cost_ms);
      best.server = server;
      best.prefill = absl::Milliseconds(estimate.prefill_ms);
      best.expected = absl::Milliseconds(estimate.expected_ms);
    }
    if (best.server) {
      return best;
    }
  }
  return {};
}

}  // namespace camphorsail
