#ifndef CAMPHORSAIL_PLACEMENT_PLACEMENT_SETTINGS_H_
#define CAMPHORSAIL_PLACEMENT_PLACEMENT_SETTINGS_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Settings of a `Placement`. All weights are ratios, so that they fit engines
/// of any speed: the unit of cost is one request that is late, and a request
/// that waits for its whole latency objective costs as much. Speeds are learned
/// (see `EngineModel`).
struct PlacementSettings {
  /// Failure domain of the gateway.
  FailureDomainId failure_domain;
  /// Cost of prefilling a whole prompt that another engine has cached, beside
  /// the wait for it; that of a part is in proportion. Stands for the requests
  /// that the engine could serve meanwhile, and makes gateways that know little
  /// of each other's load keep to the home of a prefix.
  double reread_cost = 5;
  /// Cost per rank of an engine for the prefix; the home has rank 0. Makes all
  /// gateways spill over to the same engines when the home is loaded.
  double prefix_rank_cost = 0.005;
  /// Rank from which on the rank cost no longer increases.
  int max_prefix_rank = 8;
  /// Cost of an engine whose slots are all taken, for the slower decode steps;
  /// in proportion to the slots that are taken.
  double load_cost = 0.1;
  /// Utilization of a lane, from 0 to 1, up to which each prefix has one home.
  double one_home_utilization = 0.4;
  /// Utilization of a lane from which on each prefix has two homes.
  double two_homes_utilization = 0.7;
  /// Utilization by the requests of one prefix, from 0 to 1, from which on the
  /// prefix gets another home.
  double hot_home_utilization = 0.4;
  /// Number of engines in the lane of the interactive streams, as a multiple of
  /// the engines that the work of these streams would fill. Bulk streams prefer
  /// the other engines. Engines that neither needs are divided in proportion to
  /// the two demands.
  double interactive_headroom = 1.0;
  /// Smallest fraction of the engines in the lane of the interactive streams.
  double min_interactive_fraction = 0.2;
  /// Largest fraction of the engines in the lane of the interactive streams.
  double max_interactive_fraction = 0.6;
  /// Fraction of the longest pause that a stream allows up to which a pause
  /// does no harm. Above it the harm increases linearly, up to one late stream
  /// at the longest pause.
  double harmless_pause_fraction = 0.75;
  /// Cost of a server in another failure domain.
  double other_failure_domain_cost = 0.01;
  /// Cost of a server that fails every request; scaled by the server's failure
  /// rate.
  double failure_cost = 4;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_PLACEMENT_SETTINGS_H_
