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
/// Fraction of the engines of the interactive lane, from the fastest on, that
/// can be homes of a prefix however short a pause its streams allow.
constexpr double kMinHomeShare = 0.34;
/// Cost of an engine that is not among the two that a request without a shared
/// prefix picks at random: the engine has to be faster by this fraction of the
/// latency objective. Otherwise all gateways would choose the fastest engine.
constexpr double kOtherThanPickedCost = 0.25;
constexpr int kPickedEngines = 2;
/// An engine of the lane has room when it would begin with the prompt within
/// this fraction of the latency objective, and when no more than this fraction
/// of its slots is taken. Beyond that the streams of the lane slow each other
/// down, and an engine of the other lane may be the better one.
constexpr double kRoomObjectiveFraction = 0.25;
constexpr double kRoomSlotFraction = 0.5;
/// Objective that is assumed for a route without one, in milliseconds.
constexpr double kDefaultObjectiveMs = 1000;

/// Fraction of the latency objective up to which a request counts as on time. A
/// full service refuses requests above it.
constexpr double kOnTimeObjectiveFraction = 0.9;

double ObjectiveMs(const PlacementRequest& request) {
  return request.objective > absl::ZeroDuration()
             ? absl::ToDoubleMilliseconds(request.objective)
             : kDefaultObjectiveMs;
}

/// @return True when most of the servers have just started or recovered. The
/// others then cannot take the load that a pace would keep away from these.
bool AreMostPaced(const BackendServers& servers) {
  const auto paced = std::count_if(servers.begin(), servers.end(),
                                   [](const Ref<BackendServer>& server) {
                                     return server->pace.is_active();
                                   });
  return 2 * static_cast<size_t>(paced) > servers.size();
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
/// @param may_be_home Tells of a server and its index whether it is ranked.
/// @param count Number of ranks to determine.
/// @return The servers with the lowest ranks, by rank; the first one is the
/// prefix's home.
template <typename Predicate>
std::vector<const BackendServer*> FindHomes(const BackendServers& servers,
                                            const Predicate& may_be_home,
                                            uint64_t prefix,
                                            size_t count) {
  std::vector<std::pair<uint64_t, const BackendServer*>> ranked;
  ranked.reserve(servers.size());
  for (size_t i = 0; i < servers.size(); ++i) {
    if (may_be_home(*servers[i], i)) {
      ranked.emplace_back(MixBits(prefix ^ servers[i]->hash), servers[i].get());
    }
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

std::optional<double> Placement::InteractiveEngines(double engines) const {
  if (demand_.bulk < kMinLaneDemandMs ||
      demand_.interactive < kMinLaneDemandMs) {
    return std::nullopt;
  }
  const double interactive =
      demand_.interactive * settings_.interactive_headroom / kMsPerSecond;
  const double bulk = demand_.bulk / kMsPerSecond;
  const double proportional = engines * interactive / (interactive + bulk);
  return std::clamp(std::max(proportional, interactive),
                    engines * settings_.min_interactive_fraction,
                    engines * settings_.max_interactive_fraction);
}

size_t Placement::BulkEngines(size_t engines) const {
  if (engines < 2 || demand_.bulk < kMinLaneDemandMs) {
    return 0;
  }
  const auto count = static_cast<double>(engines);
  const std::optional<double> wanted = InteractiveEngines(count);
  if (!wanted.has_value()) {
    return engines;
  }
  const double interactive_engines =
      std::clamp(std::round(*wanted), 1.0, count - 1);
  return engines - static_cast<size_t>(interactive_engines);
}

void Placement::Divide(const BackendServers& servers,
                       ServiceSpeeds* speeds,
                       MonoTime now) const {
  speeds->Update(servers);
  const auto engines = static_cast<double>(servers.size());
  std::optional<double> share = InteractiveEngines(engines);
  if (share.has_value()) {
    *share /= engines;
  }
  speeds->Divide(servers, servers.empty() ? std::nullopt : share, now);
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
                                  MonoTime now) {
  Lane lane;
  lane.by_speed = model.speeds().is_divided();
  lane.is_interactive = request.is_interactive;
  size_t bulk = 0;
  if (lane.by_speed) {
    lane.max_home_factor = MaxHomeFactor(request, model);
    bulk = servers.size() - model.speeds().interactive_engines();
  } else {
    // All gateways keep the engines in the same order (by hash), so that they
    // split them into the same lanes.
    bulk = BulkEngines(servers.size());
  }
  lane.begin = request.is_interactive && bulk < servers.size() ? bulk : 0;
  lane.end = request.is_interactive || bulk == 0 ? servers.size() : bulk;
  uint64_t prefix = LongestPrefix(request);
  lane.has_picked_homes = lane.by_speed && prefix == 0;
  if (lane.has_picked_homes) {
    prefix = random_.Next();
  }
  lane.hot_homes = HotHomes(prefix, request, model, now);
  lane.homes = FindHomes(
      servers,
      [&](const BackendServer& server, size_t index) {
        return lane.MayBeHome(server, index);
      },
      prefix, static_cast<size_t>(settings_.max_prefix_rank));
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
  if (!lane.Contains(server, index)) {
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

double Placement::LatePauseRisk(double pause_ms,
                                absl::Duration max_event_gap,
                                double spell_risk,
                                const ServiceSpeeds& speeds) const {
  const double risk = LatePauseRisk(pause_ms, max_event_gap);
  if (spell_risk <= 0) {
    return risk;
  }
  return risk * (1 - spell_risk) +
         spell_risk *
             LatePauseRisk(pause_ms * speeds.spell_slowdown(), max_event_gap);
}

double Placement::MaxHomeFactor(const PlacementRequest& request,
                                const ServiceModel& model) const {
  if (!request.is_interactive ||
      request.max_event_gap <= absl::ZeroDuration()) {
    return std::numeric_limits<double>::infinity();
  }
  const double pause_ms =
      model.engine().PauseMs(
          request.tokens_per_event,
          model.engine().PrefillMs(model.LaneOf(true).unshared_tokens)) *
      model.speeds().spell_slowdown();
  const double harmless = absl::ToDoubleMilliseconds(request.max_event_gap) *
                          settings_.harmless_pause_fraction;
  return std::max(model.speeds().InteractiveFactor(kMinHomeShare),
                  harmless / std::max(pause_ms, 1.0));
}

bool Placement::MustStayInLane(const BackendServers& servers,
                               const PlacementRequest& request,
                               const Lane& lane,
                               const Filter& filter,
                               MonoTime now) {
  if (!lane.by_speed || !request.is_interactive) {
    return false;
  }
  for (size_t i = 0; i < servers.size(); ++i) {
    const BackendServer& server = *servers[i];
    const bool may_be_held_back =
        filter.pace.has_value() && server.pace.is_active();
    if (lane.Contains(server, i) && !may_be_held_back &&
        IsUsable(server, request, filter, now) &&
        server.Load(now) + 1 <= server.slots * kRoomSlotFraction &&
        QueueMs(server, request, now) <
            ObjectiveMs(request) * kRoomObjectiveFraction) {
      return true;
    }
  }
  return false;
}

bool Placement::IsUsable(const BackendServer& server,
                         const PlacementRequest& request,
                         const Filter& filter,
                         MonoTime now) {
  const bool has_failed =
      std::find(request.failed_servers.begin(), request.failed_servers.end(),
                server.id) != request.failed_servers.end();
  return !has_failed && server.wishes.AcceptsRequests(now) &&
         (!filter.accepting_only || server.health.AcceptsRequests(now)) &&
         (!filter.memory.has_value() ||
          HasMemory(server, request, *filter.memory, now));
}

bool Placement::HasMemory(const BackendServer& server,
                          const PlacementRequest& request,
                          Urgency urgency,
                          MonoTime now) {
  const double held = server.TokensUpTo(urgency, now);
  return held <= 0 ||
         held + static_cast<double>(request.memory_tokens.value()) <=
             static_cast<double>(request.server_memory.value());
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
  const double usual_prefill_ms = engine.PrefillMs(estimate.uncached_tokens);
  const ServiceSpeeds& speeds = model.speeds();
  const double lasting = server.speed.lasting();
  estimate.slowness = speeds.SlownessOf(
      server.speed,
      absl::Milliseconds(usual_prefill_ms + engine.FirstEventMs()), now);
  estimate.prefill_ms = usual_prefill_ms * estimate.slowness;
  const double load = server.Load(now);
  const double backlog_ms =
      absl::ToDoubleMilliseconds(server.PromptBacklog(now));
  const double slowdown = server.health.Slowdown(now);
  estimate.queue_ms = QueueMs(server, request, now) * slowdown;
  estimate.expected_ms =
      estimate.queue_ms +
      (estimate.prefill_ms + engine.FirstEventMs() * estimate.slowness) *
          slowdown;
  estimate.cost = WaitCost(estimate.expected_ms / ObjectiveMs(request)) +
                  settings_.load_cost * load / server.slots;
  if (prompt_tokens > 0) {
    estimate.cost += settings_.reread_cost * reread_tokens / prompt_tokens;
  }
  if (lane.has_picked_homes) {
    estimate.cost += prefix_rank >= kPickedEngines ? kOtherThanPickedCost : 0;
  } else if (in_lane) {
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
  const double spell_risk =
      speeds.SpellRisk(absl::Seconds(request.slot_seconds));
  const auto risk = [&](double prompts_ms, absl::Duration limit) {
    // `PauseMs` is for an engine of usual speed, the backlog for this one.
    return LatePauseRisk(lasting * engine.PauseMs(tokens, prompts_ms / lasting),
                         limit, spell_risk, speeds);
  };
  const double added_ms = usual_prefill_ms * lasting;
  const auto harm = [&](absl::Duration limit) {
    return risk(backlog_ms + added_ms, limit) - risk(backlog_ms, limit);
  };
  double streams_of_lane = streams;
  if (speeds.is_uneven()) {
    // Streams that allow shorter pauses than the engine's lane may have begun
    // there before it changed its lane, or when their own had no room.
    const UrgencyCounts requests = server.RequestsByUrgency(now);
    for (int level = 0; level < kUrgencyLevels; ++level) {
      const uint32_t count = requests.at(Urgency(level));
      if (count > 0) {
        estimate.cost += count * harm(model.PauseLimitOf(Urgency(level)));
        streams_of_lane -= count;
      }
    }
  }
  estimate.cost += std::max(0.0, streams_of_lane) * harm(max_event_gap);
  if (!in_lane && request.is_interactive) {
    const double bulk_prefill_ms =
        lasting * engine.PrefillMs(model.LaneOf(false).unshared_tokens);
    estimate.cost +=
        risk(backlog_ms + bulk_prefill_ms, model.LaneOf(true).max_event_gap);
  } else if (speeds.is_uneven()) {
    // The stream itself is late by a pause beside the prompts that the engine
    // has and one more of its lane.
    const double lane_prefill_ms =
        lasting *
        engine.PrefillMs(model.LaneOf(is_interactive_engine).unshared_tokens);
    estimate.cost += risk(backlog_ms + lane_prefill_ms, request.max_event_gap);
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

PlacementChoice Placement::ChooseAmong(const BackendServers& servers,
                                       const PlacementRequest& request,
                                       const ServiceModel& model,
                                       const Lane& lane,
                                       const Filter& filter,
                                       MonoTime now) {
  const bool stays_in_lane =
      MustStayInLane(servers, request, lane, filter, now);
  PlacementChoice best;
  double best_cost = std::numeric_limits<double>::infinity();
  double next_cost = best_cost;
  int ties = 0;
  for (size_t i = 0; i < servers.size(); ++i) {
    const Ref<BackendServer>& server = servers[i];
    if (!IsUsable(*server, request, filter, now) ||
        (stays_in_lane && !lane.Contains(*server, i))) {
      continue;
    }
    if (filter.pace.has_value() && server->pace.is_active() &&
        !server->pace.Admits(server->PaceLoad(gateway_count_, now),
                             *filter.pace, now, &random_)) {
      best.is_held_back = true;
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
    best.slowness = estimate.slowness;
    best.prefill = absl::Milliseconds(estimate.prefill_ms);
    best.queue = absl::Milliseconds(estimate.queue_ms);
    best.expected = absl::Milliseconds(estimate.expected_ms);
    best.prefix_rank =
        request.is_generation ? PrefixRank(*server, i, lane) : -1;
  }
  best.cost = best_cost;
  best.next_cost = next_cost;
  return best;
}

PlacementChoice Placement::ChoosePaced(const BackendServers& servers,
                                       const PlacementRequest& request,
                                       const ServiceModel& model,
                                       const Lane& lane,
                                       Filter filter,
                                       MonoTime now) {
  if (!filter.accepting_only || AreMostPaced(servers)) {
    return ChooseAmong(servers, request, model, lane, filter, now);
  }
  // New servers that have enough requests for now are skipped, unless the
  // request would be late elsewhere or there is no other server.
  filter.pace = ServerPace::Bound::kLimit;
  PlacementChoice choice =
      ChooseAmong(servers, request, model, lane, filter, now);
  const bool is_late = absl::ToDoubleMilliseconds(choice.expected) >
                       ObjectiveMs(request) * kOnTimeObjectiveFraction;
  if (!choice.is_held_back || (choice.server && !is_late)) {
    return choice;
  }
  filter.pace = ServerPace::Bound::kSlots;
  choice = ChooseAmong(servers, request, model, lane, filter, now);
  if (choice.server) {
    return choice;
  }
  filter.pace.reset();
  return ChooseAmong(servers, request, model, lane, filter, now);
}

PlacementChoice Placement::Choose(const BackendServers& servers,
                                  const PlacementRequest& request,
                                  const ServiceModel& model,
                                  MonoTime now) {
  const Lane lane =
      request.is_generation ? LaneOf(servers, request, model, now) : Lane();
  // Servers that do not want a request get none. Those that are suspended after
  // failures are considered in case there is no other server.
  constexpr Urgency kLeastUrgent(kUrgencyLevels - 1);
  std::vector<Filter> filters = {{true, std::nullopt}, {false, std::nullopt}};
  const bool is_memory_limited = request.server_memory > Tokens(0);
  if (is_memory_limited) {
    // Less urgent requests do not take the memory of more urgent ones. A server
    // that they fill starts the more urgent request when one of them ends.
    filters = {{true, kLeastUrgent},
               {true, request.urgency},
               {false, kLeastUrgent},
               {false, request.urgency}};
  }
  for (const Filter& filter : filters) {
    PlacementChoice choice =
        ChoosePaced(servers, request, model, lane, filter, now);
    if (choice.server) {
      return choice;
    }
  }
  if (!is_memory_limited) {
    return {};
  }
  // No server has memory: the request waits until one of the requests on its
  // server ends, as it does for a slot.
  for (const bool accepting_only : {true, false}) {
    PlacementChoice choice = ChoosePaced(servers, request, model, lane,
                                         {accepting_only, std::nullopt}, now);
    if (choice.server) {
      const absl::Duration wait =
          absl::Seconds(request.slot_seconds / choice.server->slots);
      choice.is_memory_full = true;
      choice.queue += wait;
      choice.expected += wait;
      return choice;
    }
  }
  return {};
}

}  // namespace camphorsail
