#ifndef CAMPHORSAIL_PLACEMENT_PLACEMENT_H_
#define CAMPHORSAIL_PLACEMENT_PLACEMENT_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/random.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/backend_server.h"
#include "camphorsail/placement/engine_demand.h"
#include "camphorsail/placement/placement_settings.h"
#include "camphorsail/placement/prefix_rates.h"
#include "camphorsail/placement/recent_prefixes.h"
#include "camphorsail/placement/service_model.h"

namespace camphorsail {

/// The properties of a request that placement depends on.
struct PlacementRequest {
  /// True for a request to a model engine, false for a call to a plain service,
  /// which is a service that is not a model engine.
  bool is_generation = false;
  /// Rank in the queue of a model engine.
  Urgency urgency;
  Tokens prompt_tokens;
  PromptPrefixes prefixes;
  /// False for a request of the bulk lane, see `ServiceModel`.
  bool is_interactive = false;
  /// Latency objective for the first event or the answer; zero for none.
  absl::Duration objective;
  /// Longest pause between two events that the stream allows; zero for no
  /// limit.
  absl::Duration max_event_gap;
  /// Output tokens in each event of the stream.
  int tokens_per_event = 1;
  /// Time for which a request of this route typically occupies a slot of its
  /// server, in seconds.
  double slot_seconds = 1.5;
  /// Tokens that the request needs in the memory of a server, with the expected
  /// answer, and the memory of each server of the service; zero when the memory
  /// is not stated.
  Tokens memory_tokens;
  Tokens server_memory;
  /// True for a request that may end its server: it goes to the server with
  /// the least load, but not to one that has just come back or that has another
  /// such request.
  bool isolated = false;
  /// Servers on which an attempt of this request has already failed.
  std::vector<BackendServerId> failed_servers;

  /// @return Length of the part of the prompt that other requests may share.
  double SharedTokens() const {
    return prefixes.prefixes.empty()
               ? 0
               : static_cast<double>(prefixes.prefixes.back().tokens.value());
  }
  /// @return Length of the part that belongs to this request alone.
  double UnsharedTokens() const {
    return std::max(
        0.0, static_cast<double>(prompt_tokens.value()) - SharedTokens());
  }
};

/// The chosen server and the estimates behind the choice.
struct PlacementChoice {
  Ref<BackendServer> server;
  /// How long work on the request is expected to take on the server, as a
  /// multiple of what is usual in the service.
  double slowness = 1;
  /// Estimated time to prefill the part of the prompt that the server does not
  /// have cached; zero for calls to plain services.
  absl::Duration prefill;
  /// Estimate of the prompt tokens that the server does not have cached.
  double uncached_tokens = 0;
  /// Part of `expected` in which the server works on other requests; zero for
  /// calls to plain services.
  absl::Duration queue;
  /// Estimated time to the first token of a stream, or to the answer of a
  /// call.
  absl::Duration expected;
  /// Rank of the server for the prompt's prefix, 0 for the prefix's home
  /// engine; -1 for an engine outside the request's lane, and for calls.
  int prefix_rank = -1;
  /// True when there is no server only because none has memory for the request.
  bool is_memory_full = false;
  /// Number of servers that were compared.
  int candidates = 0;
  /// Estimated cost of the chosen server, see `PlacementSettings`.
  double cost = 0;
  /// Estimated cost of the second-best server.
  double next_cost = 0;
  /// True when a server was skipped because of its pace.
  bool is_held_back = false;
};

/// Chooses the backend server with the lowest cost for a request. The cost is
/// the fraction of the request's latency objective that passes until the first
/// token or the answer, plus the number of streams on the same engine that the
/// prefill of the prompt is expected to make late: an engine prefills prompts
/// between the decode steps of its streams, so that each of these pauses for as
/// long as the prompts wait to be read.
///
/// Gateways find the engine that caches a prefix without exchanging messages:
/// rendezvous hashing (Thaler and Ravishankar 1998) assigns each prefix the
/// same home engine at every gateway. The engines are divided into two lanes,
/// one for interactive streams and one for bulk streams, whose prompts are much
/// longer (see `ServiceModel`). A request that leaves its lane costs the harm
/// that is expected from it, and nothing else.
///
/// Not thread-safe; used on the event loop's thread only.
class Placement {
 public:
  Placement(const PlacementSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// @param demand Work that arrives at all gateways together.
  void SetDemand(const EngineDemand& demand) { demand_ = demand; }
  /// @param count Number of gateways that share the servers, this one included.
  void SetGatewayCount(int count) { gateway_count_ = count; }

  /// Judges how the servers of a service differ in speed, and divides them into
  /// the two lanes if they do. To be called every time that the load of the
  /// other gateways has arrived.
  void Divide(const BackendServers& servers,
              ServiceSpeeds* speeds,
              MonoTime now) const;

  /// Counts a new request to a model engine.
  void OnRequest(const PlacementRequest& request, MonoTime now);

  /// @param output_tokens Expected length of the answer.
  /// @param slots Requests that an engine runs at the same time.
  /// @return Engine time that the request takes if its shared prefixes are
  /// cached, in milliseconds.
  static double EngineWorkMs(const PlacementRequest& request,
                             const EngineModel& engine,
                             double output_tokens,
                             int slots);

  /// @param servers The servers of the model or plain service that the request
  /// is for, ordered by hash.
  /// @param model What is known about this service.
  /// @return The choice; its `server` is null when no server can take the
  /// request.
  PlacementChoice Choose(const BackendServers& servers,
                         const PlacementRequest& request,
                         const ServiceModel& model,
                         MonoTime now);

 private:
  struct Estimate {
    double cost = 0;
    double uncached_tokens = 0;
    double slowness = 1;
    double prefill_ms = 0;
    double queue_ms = 0;
    double expected_ms = 0;
  };

  /// The requests of one lane, per engine of the lane.
  struct LaneLoad {
    /// Requests per millisecond.
    double requests_per_ms = 0;
    /// Fraction of the time for which an engine is busy, from 0 to 1.
    double utilization = 0;
  };

  /// The engines that a request prefers.
  struct Lane {
    /// True when the lanes are divided by speed, see `ServiceSpeeds`. Otherwise
    /// the lane is a range of the ordered engines.
    bool by_speed = false;
    bool is_interactive = false;
    size_t begin = 0;
    size_t end = 0;
    /// True for a request without a shared prefix in lanes that are divided by
    /// speed: its homes are random.
    bool has_picked_homes = false;
    /// Lasting factor up to which an engine of the lane can be a home.
    double max_home_factor = 0;
    /// Load of the engines of the request's lane and of the other engines.
    LaneLoad load;
    LaneLoad other_load;
    /// Engines with the lowest ranks for the request's prefix, by rank.
    std::vector<const BackendServer*> homes;
    /// Number of engines that the requests of this prefix alone keep busy. All
    /// of them are homes of the prefix.
    int hot_homes = 0;
    /// Fraction of the prefixes with a second home, from 0 to 1, taken as the
    /// probability that the engine of rank 1 has the prefix cached.
    double second_home_share = 0;

    bool Contains(const BackendServer& server, size_t index) const {
      return by_speed ? server.speed.is_interactive() == is_interactive
                      : index >= begin && index < end;
    }
    bool MayBeHome(const BackendServer& server, size_t index) const {
      return Contains(server, index) &&
             (!by_speed || server.speed.lasting() <= max_home_factor);
    }
  };

  Lane LaneOf(const BackendServers& servers,
              const PlacementRequest& request,
              const ServiceModel& model,
              MonoTime now);
  /// @return Number of engines that the requests of the prefix keep busy.
  int HotHomes(uint64_t prefix,
               const PlacementRequest& request,
               const ServiceModel& model,
               MonoTime now) const;
  /// @param index Position of the server among the ordered engines.
  Estimate EstimateGeneration(const BackendServer& server,
                              size_t index,
                              const PlacementRequest& request,
                              const Lane& lane,
                              const ServiceModel& model,
                              MonoTime now) const;
  /// @return Expected wait of the request for a slot of the server and for the
  /// prompts that the engine reads before its own, in milliseconds. An engine
  /// serves its requests by urgency.
  static double QueueMs(const BackendServer& server,
                        const PlacementRequest& request,
                        MonoTime now);
  Estimate EstimateCall(const BackendServer& server,
                        const PlacementRequest& request,
                        const ServiceModel& model,
                        MonoTime now) const;
  LaneLoad LoadOf(bool is_interactive, size_t engines) const;
  /// @param backlog_ms Time until the engine has read the prompts that it has.
  /// @param prefill_ms Time to read one more prompt.
  /// @return Cost of the delay of the requests that reach the engine until its
  /// backlog is gone.
  double FollowerCost(double backlog_ms,
                      double prefill_ms,
                      const LaneLoad& load,
                      absl::Duration objective) const;
  /// @param pause_ms Expected pause between two events of a stream.
  /// @param max_event_gap Longest pause that the stream allows; zero for no
  /// limit.
  /// @return Probability that the pause makes the stream late.
  double LatePauseRisk(double pause_ms, absl::Duration max_event_gap) const;
  /// @return The same, for a stream that meets a spell of its server with the
  /// probability `spell_risk`.
  double LatePauseRisk(double pause_ms,
                       absl::Duration max_event_gap,
                       double spell_risk,
                       const ServiceSpeeds& speeds) const;
  /// @return Lasting factor up to which a stream is not late by a pause when it
  /// meets a spell beside one more prompt of the interactive lane; larger when
  /// too few engines are as fast.
  double MaxHomeFactor(const PlacementRequest& request,
                       const ServiceModel& model) const;
  /// Which servers are considered.
  struct Filter {
    /// Skips servers that are suspended after failures.
    bool accepting_only = true;
    /// Skips servers whose memory is too full for the request, counting the
    /// requests of at least this urgency; nothing to skip none.
    std::optional<Urgency> memory;
    /// Skips servers whose pace does not admit the request; nothing to skip
    /// none.
    std::optional<ServerPace::Bound> pace{};
  };

  /// @return True when the request has to stay in its lane: the lanes are
  /// divided by speed, the request is an interactive stream, and an engine of
  /// its lane has room.
  static bool MustStayInLane(const BackendServers& servers,
                             const PlacementRequest& request,
                             const Lane& lane,
                             const Filter& filter,
                             MonoTime now);
  static bool IsUsable(const BackendServer& server,
                       const PlacementRequest& request,
                       const Filter& filter,
                       MonoTime now);
  /// An empty server has memory for any request, because the length of the
  /// answer is a guess.
  static bool HasMemory(const BackendServer& server,
                        const PlacementRequest& request,
                        Urgency urgency,
                        MonoTime now);
  /// @return The choice among the servers that pass the filter and whose pace
  /// admits the request; servers that are held back are considered too if the
  /// request would be late elsewhere.
  PlacementChoice ChoosePaced(const BackendServers& servers,
                              const PlacementRequest& request,
                              const ServiceModel& model,
                              const Lane& lane,
                              Filter filter,
                              MonoTime now);
  /// @return The choice among the servers that pass the filter.
  PlacementChoice ChooseAmong(const BackendServers& servers,
                              const PlacementRequest& request,
                              const ServiceModel& model,
                              const Lane& lane,
                              const Filter& filter,
                              MonoTime now);
  /// @return Rank of an engine for the prefix, see `PlacementChoice`.
  int PrefixRank(const BackendServer& server,
                 size_t index,
                 const Lane& lane) const;
  /// A busy lane keeps each prefix on two home engines, because a choice
  /// between two engines evens out the load.
  /// @return Fraction of the prefixes with a second home, from 0 to 1; it rises
  /// with the utilization of the lane.
  double SecondHomeShare(bool is_interactive, size_t engines) const;
  /// @param engines Number of engines of the service.
  /// @return Number of them that form the lane of the bulk streams.
  size_t BulkEngines(size_t engines) const;
  /// @param engines Number of engines of usual speed that are as fast as the
  /// engines of the service together.
  /// @return Those of them that the interactive streams need; nothing when
  /// there is only one kind of stream.
  std::optional<double> InteractiveEngines(double engines) const;

  const PlacementSettings settings_;
  EngineDemand demand_;
  int gateway_count_ = 1;
  PrefixRates prefix_rates_;
  Random random_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_PLACEMENT_H_
