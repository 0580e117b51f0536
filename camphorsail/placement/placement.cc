#include "camphorsail/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {
namespace {

/// Servers whose costs differ by less than this count as equally good. One of
/// them is chosen at random, so that the gateways do not all pick the same one.
constexpr double kCostTie = 0.003;
constexpr double kMsPerSecond = 1000;
/// Factor by which prefill slows down because the engine interleaves it with
/// the decode steps of its running streams.
constexpr double kInterleavingSlowdown = 1.2;
/// Demand, in milliseconds of engine time per second, below which a lane gets
/// no engines of its own.
constexpr double kMinLaneDemandMs = 1;
/// Utilization above which the delay of later requests no longer increases in
/// the estimate. At full utilization the queue would never become empty.
constexpr double kMaxUtilization = 0.8;
/// Cost of a wait beyond the latency objective, per length of the objective.
constexpr double kLateWaitCost = 0.6;
/// Time for which a server counts as new. A server that ends soon after each
/// start never gets warm.
constexpr absl::Duration kNewServerTime = absl::Seconds(5);
/// Objective that is assumed for a route without one, in milliseconds.
constexpr double kDefaultObjectiveMs = 1000;

/// Fraction of the latency objective up to which a request counts as on time. A
/// full service refuses requests above it.
constexpr double kOnTimeObjectiveFraction = 0.9;

/// Which servers a pass over the servers of a service considers. Each value
/// includes the servers of the values before it.
enum class ServerFilter : uint8_t {
  /// Servers that are not suspended and whose pace admits the request.
  kPaced,
  /// The same; the pace admits as many requests as the server has slots.
  kPacedBySlots,
  /// Servers that are not suspended.
  kAccepting,
  kAll
};

double ObjectiveMs(const PlacementRequest& request) {
  return request.objective > absl::ZeroDuration()
             ? absl::ToDoubleMilliseconds(request.objective)
             : kDefaultObjectiveMs;
}

/// @return Hash of the longest prefix that other requests may share; 0 when
/// there is none.
uint64_t LongestPrefix(const PlacementRequest& request) {
  return request.prefixes.prefixes.empty()
             ? 0
             : request.prefixes.prefixes.back().hash;
}

/// @param ratio Expected wait, as a fraction of the latency objective.
/// @return Cost of the wait. Above the objective the request is late already,
/// so that a longer wait costs less than the delay of other requests.
double WaitCost(double ratio) {
  return ratio < 1 ? ratio : 1 + kLateWaitCost * (ratio - 1);
}

/// Ranks the servers for a prefix by rendezvous hashing.
/// @param begin, end The range of the servers that are ranked.
/// @param count Number of ranks to determine.
/// @return The servers with the lowest ranks, by rank; the first one is the
/// prefix's home.
std::vector<const BackendServer*> FindHomes(const BackendServers& servers,
                                            size_t begin,
                                            size_t end,
                                            uint64_t prefix,
                                            size_t count) {
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(end - begin);
  for (size_t i = begin; i < end; ++i) {
    ranked.emplace_back(MixBits(prefix ^ servers[i]->hash), servers[i].get());
  }
  count = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<const BackendServer*> homes;
  homes.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
}

}  // namespace

double Placement::EngineWorkMs(const PlacementRequest& request,
                               const EngineModel& engine,
                               double output_tokens,
                               int slots) {
  return engine.PrefillMs(request.UnsharedTokens()) +
         output_tokens * engine.StepMs() / slots;
}

size_t Placement::BulkEngines(size_t engines) const {
  if (engines < 2 || demand_.bulk < kMinLaneDemandMs) {
    return 0;
  }
  if (demand_.interactive < kMinLaneDemandMs) {
    return engines;
  }
  const auto count = static_cast<double>(engines);
  const double interactive =
      demand_.interactive * settings_.interactive_headroom / kMsPerSecond;
  const double bulk = demand_.bulk / kMsPerSecond;
  const double proportional = count * interactive / (interactive + bulk);
  const double wanted = std::clamp(std::max(proportional, interactive),
                                   count * settings_.min_interactive_fraction,
                                   count * settings_.max_interactive_fraction);
  const double interactive_engines =
      std::clamp(std::round(wanted), 1.0, count - 1);
  return engines - static_cast<size_t>(interactive_engines);
}

Placement::LaneLoad Placement::LoadOf(bool is_interactive,
                                      size_t engines) const {
  if (engines == 0) {
    return {};
  }
  const double requests = is_interactive
                              ? demand_.interactive_requests
                              : demand_.requests - demand_.interactive_requests;
  const double work = is_interactive ? demand_.interactive : demand_.bulk;
  const double engine_ms_per_second =
      kMsPerSecond * static_cast<double>(engines);
  return {std::max(0.0, requests) / engine_ms_per_second,
          work / engine_ms_per_second};
}

double Placement::FollowerCost(double backlog_ms,
                               double prefill_ms,
                               const LaneLoad& load,
                               absl::Duration objective) const {
  if (objective <= absl::ZeroDuration()) {
    return 0;
  }
  // Each request that arrives until the queue is empty waits longer by the time
  // of this prefill, or by what is left of it.
  const double busy_ms = (backlog_ms + prefill_ms) /
                         (1 - std::min(load.utilization, kMaxUtilization));
  return load.requests_per_ms * busy_ms * prefill_ms /
         absl::ToDoubleMilliseconds(objective);
}

double Placement::SecondHomeShare(bool is_interactive, size_t engines) const {
  if (engines < 2) {
    return 0;
  }
  const double utilization = LoadOf(is_interactive, engines).utilization;
  return std::clamp(
      (utilization - settings_.one_home_utilization) /
          (settings_.two_homes_utilization - settings_.one_home_utilization),
      0.0, 1.0);
}

void Placement::OnRequest(const PlacementRequest& request, MonoTime now) {
  if (const uint64_t prefix = LongestPrefix(request); prefix != 0) {
    prefix_rates_.OnRequest(prefix, now);
  }
}

int Placement::HotHomes(uint64_t prefix,
                        const PlacementRequest& request,
                        const ServiceModel& model,
                        MonoTime now) const {
  const double busy_engines =
      prefix_rates_.RateOf(prefix, now) * gateway_count_ *
      model.engine().PrefillMs(request.UnsharedTokens()) / kMsPerSecond;
  return static_cast<int>(
      std::min(std::ceil(busy_engines / settings_.hot_home_utilization),
               static_cast<double>(settings_.max_prefix_rank)));
}

Placement::Lane Placement::LaneOf(const BackendServers& servers,
                                  const PlacementRequest& request,
                                  const ServiceModel& model,
                                  MonoTime now) const {
  // All gateways keep the engines in the same order (by hash), so that they
  // split them into the same lanes.
  const size_t bulk = BulkEngines(servers.size());
  Lane lane;
  lane.begin = request.is_interactive && bulk < servers.size() ? bulk : 0;
  lane.end = request.is_interactive || bulk == 0 ? servers.size() : bulk;
  const uint64_t prefix = LongestPrefix(request);
  lane.hot_homes = HotHomes(prefix, request, model, now);
  lane.homes = FindHomes(servers, lane.begin, lane.end, prefix,
                         static_cast<size_t>(settings_.max_prefix_rank));
  lane.load = LoadOf(request.is_interactive, lane.end - lane.begin);
  lane.other_load =
      LoadOf(!request.is_interactive, servers.size() - (lane.end - lane.begin));
  lane.second_home_share =
      SecondHomeShare(request.is_interactive, lane.end - lane.begin);
  return lane;
}

int Placement::PrefixRank(const BackendServer& server,
                          size_t index,
                          const Lane& lane) const {
  if (index < lane.begin || index >= lane.end) {
    return -1;
  }
  const auto found = std::find(lane.homes.begin(), lane.homes.end(), &server);
  return static_cast<int>(found - lane.homes.begin());
}

double Placement::LatePauseRisk(double pause_ms,
                                absl::Duration max_event_gap) const {
  if (max_event_gap <= absl::ZeroDuration()) {
    return 0;
  }
  const double limit_ms = absl::ToDoubleMilliseconds(max_event_gap);
  const double harmless_ms = limit_ms * settings_.harmless_pause_fraction;
  return std::clamp((pause_ms - harmless_ms) / (limit_ms - harmless_ms), 0.0,
                    1.0);
}

double Placement::QueueMs(const BackendServer& server,
                          const PlacementRequest& request,
                          MonoTime now) {
  // A request that finds no free slot takes the next one that becomes free,
  // unless requests that are at least as urgent wait too.
  const double for_a_slot =
      std::clamp(server.Load(now) + 1 - server.slots, 0.0, 1.0);
  const double behind_others =
      server.LoadUpTo(request.urgency, now) + 1 - server.slots;
  const double places = std::max(for_a_slot, behind_others);
  return absl::ToDoubleMilliseconds(server.BacklogUpTo(request.urgency, now)) *
             kInterleavingSlowdown +
         places * request.slot_seconds * kMsPerSecond / server.slots;
}

Placement::Estimate Placement::EstimateGeneration(
    const BackendServer& server,
    size_t index,
    const PlacementRequest& request,
    const Lane& lane,
    const ServiceModel& model,
    MonoTime now) const {
  const EngineModel& engine = model.engine();
  const auto prompt_tokens = static_cast<double>(request.prompt_tokens.value());
  const double shared_tokens = request.SharedTokens();
  const int prefix_rank = PrefixRank(server, index, lane);
  const bool in_lane = prefix_rank >= 0;
  // Any gateway that sent this prefix recently chose one of its home engines,
  // so these probably have it cached even if this gateway did not send it.
  double home_share = 0;
  if (prefix_rank == 0 || (in_lane && prefix_rank < lane.hot_homes)) {
    home_share = 1;
  } else if (prefix_rank == 1) {
    home_share = lane.second_home_share;
  }
  const double cached_tokens = std::max(
      shared_tokens * home_share,
      static_cast<double>(server.prefixes.Find(request.prefixes, now).value()));
  const double reread_tokens = std::max(0.0, shared_tokens - cached_tokens);
  Estimate estimate;
  estimate.uncached_tokens = std::max(0.0, prompt_tokens - cached_tokens);
  estimate.prefill_ms = engine.PrefillMs(estimate.uncached_tokens);
  const double load = server.Load(now);
  const double backlog_ms =
      absl::ToDoubleMilliseconds(server.PromptBacklog(now));
  const double slowdown = server.health.Slowdown(now);
  estimate.queue_ms = QueueMs(server, request, now) * slowdown;
  estimate.expected_ms =
      estimate.queue_ms +
      (estimate.prefill_ms + engine.FirstEventMs()) * slowdown;
  estimate.cost = WaitCost(estimate.expected_ms / ObjectiveMs(request)) +
                  settings_.load_cost * load / server.slots;
  if (prompt_tokens > 0) {
    estimate.cost += settings_.reread_cost * reread_tokens / prompt_tokens;
  }
  if (in_lane) {
    estimate.cost += settings_.prefix_rank_cost * prefix_rank;
  }

  // Events of the streams on the engine are delayed by the prompts that it
  // reads. Only what this prompt adds to the delay is its cost.
  const bool is_interactive_engine = in_lane == request.is_interactive;
  const ServiceModel::Lane& streams_of_engine =
      model.LaneOf(is_interactive_engine);
  estimate.cost += FollowerCost(backlog_ms, estimate.prefill_ms,
                                in_lane ? lane.load : lane.other_load,
                                streams_of_engine.objective);
  const absl::Duration max_event_gap = streams_of_engine.max_event_gap;
  const double streams = in_lane ? load : std::max(1.0, load);
  const int tokens = request.tokens_per_event;
  estimate.cost +=
      streams *
      (LatePauseRisk(engine.PauseMs(tokens, backlog_ms + estimate.prefill_ms),
                     max_event_gap) -
       LatePauseRisk(engine.PauseMs(tokens, backlog_ms), max_event_gap));
  if (!in_lane && request.is_interactive) {
    const double bulk_prefill_ms =
        engine.PrefillMs(model.LaneOf(false).unshared_tokens);
    estimate.cost +=
        LatePauseRisk(engine.PauseMs(tokens, backlog_ms + bulk_prefill_ms),
                      model.LaneOf(true).max_event_gap);
  }
  return estimate;
}

Placement::Estimate Placement::EstimateCall(const BackendServer& server,
                                            const PlacementRequest& request,
                                            const ServiceModel& model,
                                            MonoTime now) const {
  const double call_ms = model.engine().CallMs();
  const double load = server.Load(now) + 1;
  const double queue = std::max(0.0, load - server.slots) / server.slots;
  Estimate estimate;
  estimate.expected_ms = call_ms * (1 + queue) * server.health.Slowdown(now);
  estimate.cost = (estimate.expected_ms + call_ms * load / server.slots) /
                  ObjectiveMs(request);
  return estimate;
}

PlacementChoice Placement::Choose(const BackendServers& servers,
                                  const PlacementRequest& request,
                                  const ServiceModel& model,
                                  MonoTime now) {
  const Lane lane =
      request.is_generation ? LaneOf(servers, request, model, now) : Lane();
  // The first pass skips servers that are suspended after failures, and new
  // servers that have enough requests for now. The next passes consider these
  // too, if the request would be late elsewhere or there is no other server,
  // and the last one the suspended servers. Servers that do not want a request
  // get none.
  bool is_held_back = false;
  for (const ServerFilter filter :
       {ServerFilter::kPaced, ServerFilter::kPacedBySlots,
        ServerFilter::kAccepting, ServerFilter::kAll}) {
    const bool ignores_pace = filter >= ServerFilter::kAccepting;
    if (!is_held_back && (filter == ServerFilter::kPacedBySlots ||
                          filter == ServerFilter::kAccepting)) {
      continue;
    }
    PlacementChoice best;
    double best_cost = std::numeric_limits<double>::infinity();
    double next_cost = best_cost;
    int ties = 0;
    for (size_t i = 0; i < servers.size(); ++i) {
      const Ref<BackendServer>& server = servers[i];
      const bool has_failed =
          std::find(request.failed_servers.begin(),
                    request.failed_servers.end(),
                    server->id) != request.failed_servers.end();
      if (has_failed || !server->wishes.AcceptsRequests(now) ||
          (filter != ServerFilter::kAll &&
           !server->health.AcceptsRequests(now))) {
        continue;
      }
      if (server->pace.is_active() && !ignores_pace &&
          !server->pace.Admits(server->PaceLoad(gateway_count_, now),
                               filter == ServerFilter::kPaced
                                   ? ServerPace::Bound::kLimit
                                   : ServerPace::Bound::kSlots,
                               now, &random_)) {
        is_held_back = true;
        continue;
      }
      Estimate estimate =
          request.is_generation
              ? EstimateGeneration(*server, i, request, lane, model, now)
              : EstimateCall(*server, request, model, now);
      if (request.isolated) {
        estimate.cost = server->Load(now) / server->slots +
                        server->isolated_requests +
                        (now - server->known_since < kNewServerTime ? 1 : 0);
      }
      estimate.cost += settings_.failure_cost * server->health.FailureRate(now);
      if (server->failure_domain != settings_.failure_domain) {
        estimate.cost += settings_.other_failure_domain_cost;
      }
      ++best.candidates;
      next_cost = std::min(next_cost, std::max(best_cost, estimate.cost));
      if (estimate.cost < best_cost - kCostTie) {
        ties = 0;
      } else if (estimate.cost > best_cost + kCostTie ||
                 random_.Below(static_cast<uint64_t>(++ties) + 1) != 0) {
        continue;
      }
      best_cost = std::min(best_cost, estimate.cost);
      best.server = server;
      best.uncached_tokens = estimate.uncached_tokens;
      best.prefill = absl::Milliseconds(estimate.prefill_ms);
      best.queue = absl::Milliseconds(estimate.queue_ms);
      best.expected = absl::Milliseconds(estimate.expected_ms);
      best.prefix_rank =
          request.is_generation ? PrefixRank(*server, i, lane) : -1;
    }
    const bool is_late = absl::ToDoubleMilliseconds(best.expected) >
                         ObjectiveMs(request) * kOnTimeObjectiveFraction;
    if (best.server &&
        !(filter == ServerFilter::kPaced && is_held_back && is_late)) {
      best.cost = best_cost;
      best.next_cost = next_cost;
      return best;
    }
  }
  return {};
}

}  // namespace camphorsail
