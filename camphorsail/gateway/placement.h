#ifndef CAMPHORSAIL_GATEWAY_PLACEMENT_H_
#define CAMPHORSAIL_GATEWAY_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/random.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/gateway/lane_demand.h"
#include "camphorsail/gateway/placement_settings.h"
#include "camphorsail/gateway/prefix_memory.h"

namespace camphorsail {

/// What placement needs to know of a request.
struct PlacementRequest {
  bool is_generation = false;
  Tokens prompt_tokens;
  PromptPrefixes prefixes;
  /// True for a stream whose first event is due early.
  bool is_quick = false;
  /// Time for which a request of this kind holds a slot of its server.
  double slot_seconds = 1.5;
  /// Servers that have failed the request already.
  std::vector<BackendServerId> tried;
};

/// The chosen server and what the choice expects.
struct PlacementChoice {
  Ref<BackendServer> server;
  /// Time in which the server reads the part of the prompt that it does not
  /// cache; zero for calls.
  absl::Duration prefill;
  /// Expected time to the first token or to the answer.
  absl::Duration expected;
  /// Place of the server in the order of the prompt's prefix, 0 for its home;
  /// -1 for an engine that the request does not prefer, and for calls.
  int place = -1;
  /// Servers among which the choice was made, its estimated cost, and that of
  /// the second best.
  int candidates = 0;
  absl::Duration cost;
  absl::Duration next_cost;
};

/// Chooses the server with the least expected time to the first token or the
/// answer, with the harm that a long prompt does to streams on its engine.
/// Engines that cache a prefix are found without messages: each prefix has the
/// same home engine at every gateway (rendezvous hashing, Thaler and
/// Ravishankar 1998). Quick streams, whose first event is due early, and
/// bulk streams prefer different engines, because an engine reads long prompts
/// between the tokens of its streams. Belongs to the loop's thread.
class Placement {
 public:
  Placement(const PlacementSettings& settings, uint64_t seed)
      : settings_(settings), random_(seed) {}

  /// @param demand Work that arrives at all gateways.
  void SetDemand(const LaneDemand& demand) { demand_ = demand; }

  /// @param output_tokens Expected length of the answer.
  /// @param slots Of an engine.
  /// @return Time of one engine that the request takes, shared prefixes being
  /// cached, in milliseconds.
  double WorkMs(const PlacementRequest& request,
                double output_tokens,
                int slots) const;

  /// @param servers Those of the request's service.
  /// @return Without a server when none can take the request.
  PlacementChoice Choose(const BackendFleet::Servers& servers,
                         const PlacementRequest& request,
                         MonoTime now);

 private:
  struct Estimate {
    double cost_ms = 0;
    double prefill_ms = 0;
    double expected_ms = 0;
  };

  /// The engines that a request prefers, and the place of each in the order of
  /// the request's prefix.
  struct Lane {
    absl::flat_hash_map<const BackendServer*, int> places;
    /// Probability that the engine in the second place caches the prefix too.
    double second_home_share = 0;
  };

  Lane LaneOf(const BackendFleet::Servers& servers,
              const PlacementRequest& request) const;
  Estimate EstimateGeneration(const BackendServer& server,
                              const PlacementRequest& request,
                              const Lane& lane,
                              MonoTime now) const;
  Estimate EstimateCall(const BackendServer& server, MonoTime now) const;
  double PrefillMs(double uncached, double whole) const;
  /// @return How far the engines of a lane are busy enough for each prefix to
  /// have two homes, from 0 to 1. The choice between two evens out the load.
  double SecondHomeShare(bool is_quick, size_t engines) const;
  /// @return How many of `engines` bulk streams prefer.
  size_t BulkEngines(size_t engines) const;

  const PlacementSettings settings_;
  LaneDemand demand_;
  Random random_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PLACEMENT_H_
