#include "camphorsail/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {
namespace {

/// Servers whose costs differ by less than this count as equally good. One of
/// them is chosen at random, so that the gateways do not all pick the same one.
constexpr double kCostTieMs = 1;
/// Batch steps between the end of a request's prefill and its first token.
constexpr double kFirstTokenSteps = 3;
constexpr double kMsPerSecond = 1000;
/// Factor by which prefill slows down because the engine interleaves it with
/// the decode steps of its running streams.
constexpr double kInterleavingSlowdown = 1.2;
/// Decode steps of a typical answer. Each of them takes longer when the batch
/// is fuller.
constexpr double kStepsPerAnswer = 50;

/// Ranks the servers for a prefix by rendezvous hashing.
/// @return The rank of each server; the server of rank 0 is the prefix's home.
absl::flat_hash_map<const BackendServer*, int> RankByPrefix(
    const std::vector<const BackendServer*>& servers,
    uint64_t prefix) {
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (const BackendServer* server : servers) {
    ranked.emplace_back(MixBits(prefix ^ server->hash), server);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  absl::flat_hash_map<const BackendServer*, int> prefix_ranks;
  for (size_t i = 0; i < ranked.size(); ++i) {
    prefix_ranks[ranked[i].second] = static_cast<int>(i);
  }
  return prefix_ranks;
}

}  // namespace

double Placement::PrefillMs(double uncached_tokens,
                            double prompt_tokens) const {
  // Attention compares each new token with all tokens before it.
  const double pairs = uncached_tokens * (prompt_tokens - uncached_tokens / 2);
  return uncached_tokens / settings_.prefill_tokens_per_ms +
         pairs / 1e6 * settings_.prefill_ms_per_million_pairs;
}

double Placement::EngineWorkMs(const PlacementRequest& request,
                               double output_tokens,
                               int slots) const {
  const auto prompt_tokens = static_cast<double>(request.prompt_tokens.value());
  const double unshared_tokens =
      request.prefixes.prefixes.empty()
          ? prompt_tokens
          : prompt_tokens -
                static_cast<double>(
                    request.prefixes.prefixes.back().tokens.value());
  const double step = settings_.step_ms + settings_.step_ms_per_request * slots;
  return PrefillMs(std::max(0.0, unshared_tokens), prompt_tokens) +
         output_tokens * step / slots;
}

size_t Placement::BulkEngines(size_t engines) const {
  if (engines < 2) {
    return 0;
  }
  const auto count = static_cast<double>(engines);
  const double interactive =
      demand_.interactive * settings_.interactive_headroom / kMsPerSecond;
  const double bulk = demand_.bulk / kMsPerSecond;
  const double total = interactive + bulk;
  // Without any demand, interactive and bulk streams get half of the engines
  // each.
  const double proportional =
      total > 0 ? count * interactive / total : count / 2;
  const double wanted = std::clamp(std::max(proportional, interactive),
                                   count * settings_.min_interactive_fraction,
                                   count * settings_.max_interactive_fraction);
  const double interactive_engines =
      std::clamp(std::round(wanted), 1.0, count - 1);
  return engines - static_cast<size_t>(interactive_engines);
}

double Placement::SecondHomeShare(bool is_interactive, size_t engines) const {
  if (engines < 2) {
    return 0;
  }
  const double utilization =
      (is_interactive ? demand_.interactive : demand_.bulk) /
      (kMsPerSecond * static_cast<double>(engines));
  return std::clamp(
      (utilization - settings_.one_home_utilization) /
          (settings_.two_homes_utilization - settings_.one_home_utilization),
      0.0, 1.0);
}

Placement::Lane Placement::LaneOf(const BackendFleet::Servers& servers,
                                  const PlacementRequest& request) const {
  // All gateways keep the engines in the same order (by hash), so that they
  // split them into the same lanes.
  const size_t bulk = BulkEngines(servers.size());
  const size_t begin = request.is_interactive ? bulk : 0;
  const size_t end =
      request.is_interactive || bulk == 0 ? servers.size() : bulk;
  std::vector<const BackendServer*> ordered;
  ordered.reserve(end - begin);
  for (size_t i = begin; i < end; ++i) {
    ordered.push_back(servers[i].get());
  }
  const uint64_t prefix = request.prefixes.prefixes.empty()
                              ? 0
                              : request.prefixes.prefixes.back().hash;
  return {RankByPrefix(ordered, prefix),
          SecondHomeShare(request.is_interactive, ordered.size())};
}

Placement::Estimate Placement::EstimateGeneration(
    const BackendServer& server,
    const PlacementRequest& request,
    const Lane& lane,
    MonoTime now) const {
  const auto prompt_tokens = static_cast<double>(request.prompt_tokens.value());
  const double shared_tokens =
      request.prefixes.prefixes.empty()
          ? 0
          : static_cast<double>(
                request.prefixes.prefixes.back().tokens.value());
  const auto prefix_rank = lane.prefix_ranks.find(&server);
  const bool in_lane = prefix_rank != lane.prefix_ranks.end();
  // Any gateway that sent this prefix recently chose one of its home engines,
  // so these probably have it cached even if this gateway did not send it.
  const double home_share =
      in_lane && prefix_rank->second < 2
          ? (prefix_rank->second == 0 ? 1.0 : lane.second_home_share)
          : 0.0;
  const double cached_tokens = std::max(
      shared_tokens * home_share,
      static_cast<double>(server.prefixes.Find(request.prefixes, now).value()));
  Estimate estimate;
  estimate.prefill_ms = PrefillMs(
      std::max(0.0, prompt_tokens - std::min(cached_tokens, prompt_tokens)),
      prompt_tokens);
  const double load = server.Load(now);
  const double step = settings_.step_ms + settings_.step_ms_per_request * load;
  const double excess_requests = std::max(0.0, load + 1 - server.slots);
  const double queue_ms =
      absl::ToDoubleMilliseconds(server.PromptBacklog(now)) *
          kInterleavingSlowdown +
      excess_requests * request.slot_seconds * kMsPerSecond / server.slots;
  estimate.expected_ms =
      (queue_ms + estimate.prefill_ms + kFirstTokenSteps * step) *
      server.health.Slowdown(now);
  estimate.cost_ms = estimate.expected_ms +
                     settings_.interference * estimate.prefill_ms *
                         server.interactive_streams() +
                     load * settings_.step_ms_per_request * kStepsPerAnswer +
                     settings_.recompute_ms_per_token *
                         std::max(0.0, shared_tokens - cached_tokens);
  if (in_lane) {
    estimate.cost_ms += settings_.prefix_rank_ms * prefix_rank->second;
  } else {
    estimate.cost_ms += request.is_interactive
                            ? settings_.interactive_on_bulk_engine_ms
                            : settings_.bulk_on_interactive_engine_ms;
  }
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
  const Lane lane = request.is_generation ? LaneOf(servers, request) : Lane();
  // The first pass skips servers that are suspended after failures. The second
  // pass considers them too, in case there is no other server.
  for (const bool accepting_only : {true, false}) {
    PlacementChoice best;
    double best_cost = std::numeric_limits<double>::infinity();
    double next_cost = best_cost;
    int ties = 0;
    for (const auto& server : servers) {
      const bool has_failed =
          std::find(request.failed_servers.begin(),
                    request.failed_servers.end(),
                    server->id) != request.failed_servers.end();
      if (has_failed ||
          (accepting_only && !server->health.AcceptsRequests(now))) {
        continue;
      }
      Estimate estimate = request.is_generation
                              ? EstimateGeneration(*server, request, lane, now)
                              : EstimateCall(*server, now);
      estimate.cost_ms +=
          settings_.failure_ms * server->health.FailureRate(now);
      if (server->failure_domain != settings_.failure_domain) {
        estimate.cost_ms += settings_.other_failure_domain_ms;
      }
      ++best.candidates;
      next_cost = std::min(next_cost, std::max(best_cost, estimate.cost_ms));
      if (estimate.cost_ms < best_cost - kCostTieMs) {
        ties = 0;
      } else if (estimate.cost_ms > best_cost + kCostTieMs ||
                 random_.Below(static_cast<uint64_t>(++ties) + 1) != 0) {
        continue;
      }
      best_cost = std::min(best_cost, estimate.cost_ms);
      best.server = server;
      best.prefill = absl::Milliseconds(estimate.prefill_ms);
      best.expected = absl::Milliseconds(estimate.expected_ms);
      const auto prefix_rank = lane.prefix_ranks.find(server.get());
      best.prefix_rank =
          prefix_rank == lane.prefix_ranks.end() ? -1 : prefix_rank->second;
    }
    if (best.server) {
      best.cost = absl::Milliseconds(best_cost);
      best.next_cost = absl::Milliseconds(next_cost);
      return best;
    }
  }
  return {};
}

}  // namespace camphorsail
