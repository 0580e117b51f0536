#ifndef CAMPHORSAIL_GATEWAY_PLACEMENT_H_
#define CAMPHORSAIL_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/random.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/gateway/engine_demand.h"
#include "camphorsail/gateway/placement_settings.h"
#include "camphorsail/gateway/recent_prefixes.h"

namespace camphorsail {

/// The properties of a request that placement depends on.
struct PlacementRequest {
  /// True for a request to a model engine, false for a call to a plain service,
  /// which is a service that is not a model engine.
  bool is_generation = false;
  Tokens prompt_tokens;
  PromptPrefixes prefixes;
  /// True for a stream with a short latency objective for its first event.
  bool is_interactive = false;
  /// Time for which a request of this route typically occupies a slot of its
  /// server, in seconds.
  double slot_seconds = 1.5;
  /// Servers on which an attempt of this request has already failed.
  std::vector<BackendServerId> failed_servers;
};

/// The chosen server and the estimates behind the choice.
struct PlacementChoice {
  Ref<BackendServer> server;
  /// Estimated time to prefill the part of the prompt that the server does not
  /// have cached; zero for calls to plain services.
  absl::Duration prefill;
  /// Estimated time to the first token of a stream, or to the answer of a
  /// call.
  absl::Duration expected;
  /// Rank of the server for the prompt's prefix, 0 for the prefix's home
  /// engine; -1 for an engine outside the request's lane, and for calls.
  int prefix_rank = -1;
  /// Number of servers that were compared.
  int candidates = 0;
  /// Estimated cost of the chosen server.
  absl::Duration cost;
  /// Estimated cost of the second-best server.
  absl::Duration next_cost;
};

/// Chooses the backend server with the lowest cost for a request. The cost is
/// the expected time to the first token or to the answer, plus penalties such
/// as the delay that a long prefill causes for the streams on the same engine.
///
/// Gateways find the engine that caches a prefix without exchanging messages:
/// rendezvous hashing (Thaler and Ravishankar 1998) assigns each prefix the
/// same home engine at every gateway. The engines are divided into two lanes,
/// one for interactive streams, which have a short latency objective for the
/// first event, and one for bulk streams, because an engine prefills long
/// prompts between the decode steps of its streams and so delays their tokens.
///
/// Not thread-safe; used on the event loop's thread only.
class Placement {
 public:
  Placement(const PlacementSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// @param demand Work that arrives at all gateways together.
  void SetDemand(const EngineDemand& demand) { demand_ = demand; }

  /// @param output_tokens Expected length of the answer.
  /// @param slots Requests that an engine runs at the same time.
  /// @return Engine time that the request takes if its shared prefixes are
  /// cached, in milliseconds.
  double EngineWorkMs(const PlacementRequest& request,
                      double output_tokens,
                      int slots) const;

  /// @param servers The servers of the model or plain service that the request
  /// is for.
  /// @return The choice; its `server` is null when no server can take the
  /// request.
  PlacementChoice Choose(const BackendFleet::Servers& servers,
                         const PlacementRequest& request,
                         MonoTime now);

 private:
  struct Estimate {
    double cost_ms = 0;
    double prefill_ms = 0;
    double expected_ms = 0;
  };

  /// The engines that a request prefers: those reserved for interactive
  /// streams, or those reserved for bulk streams.
  struct Lane {
    /// Rank of each engine of the lane for the request's prefix.
    absl::flat_hash_map<const BackendServer*, int> prefix_ranks;
    /// Fraction of the prefixes with a second home, from 0 to 1, taken as the
    /// probability that the engine of rank 1 has the prefix cached.
    double second_home_share = 0;
  };

  Lane LaneOf(const BackendFleet::Servers& servers,
              const PlacementRequest& request) const;
  Estimate EstimateGeneration(const BackendServer& server,
                              const PlacementRequest& request,
                              const Lane& lane,
                              MonoTime now) const;
  Estimate EstimateCall(const BackendServer& server, MonoTime now) const;
  /// @param uncached_tokens Prompt tokens that the engine has to read.
  /// @param prompt_tokens All tokens of the prompt.
  /// @return Expected prefill time in milliseconds.
  double PrefillMs(double uncached_tokens, double prompt_tokens) const;
  /// A busy lane keeps each prefix on two home engines, because a choice
  /// between two engines evens out the load.
  /// @return Fraction of the prefixes with a second home, from 0 to 1; it rises
  /// with the utilization of the lane.
  double SecondHomeShare(bool is_interactive, size_t engines) const;
  /// @param engines Number of engines of the service.
  /// @return Number of them that form the lane of the bulk streams.
  size_t BulkEngines(size_t engines) const;

  const PlacementSettings settings_;
  EngineDemand demand_;
  Random random_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PLACEMENT_H_
