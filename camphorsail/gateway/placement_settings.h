#ifndef CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_
#define CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Settings of a `Placement`. The figures for the engine come from the engine
/// data sheets of the deployments.
struct PlacementSettings {
  /// Failure domain of the gateway.
  FailureDomainId failure_domain;
  /// Prompt tokens that an engine prefills per millisecond.
  double prefill_tokens_per_ms = 66;
  /// Additional prefill time for attention, in milliseconds per million pairs
  /// of prompt tokens.
  double prefill_ms_per_million_pairs = 0.276;
  /// Duration of one decode step of an empty batch, in milliseconds.
  double step_ms = 3.9;
  /// Additional duration of a decode step for each request in the batch, in
  /// milliseconds.
  double step_ms_per_request = 0.028;
  /// Duration of a call to a plain service on an idle server, in
  /// milliseconds.
  double call_ms = 20;
  /// Cost of prefilling a token of a shared prefix that another engine has
  /// cached, in milliseconds per token. In the cost model of the deployments,
  /// such a token costs about as much as a request that waits this long.
  double recompute_ms_per_token = 0.6;
  /// Cost per rank of an engine for the prefix, in milliseconds; the home has
  /// rank 0. Makes all gateways spill over to the same engines when the home is
  /// loaded.
  double prefix_rank_ms = 2;
  /// Utilization of a lane, from 0 to 1, up to which each prefix has one home.
  double one_home_utilization = 0.4;
  /// Utilization of a lane from which on each prefix has two homes.
  double two_homes_utilization = 0.7;
  /// Number of engines in the lane of the interactive streams, as a multiple of
  /// the engines that the work of these streams would fill. Bulk streams prefer
  /// the other engines. Engines that neither needs are divided in proportion to
  /// the two demands.
  double interactive_headroom = 1.5;
  /// Smallest fraction of the engines in the lane of the interactive streams.
  double min_interactive_fraction = 0.2;
  /// Largest fraction of the engines in the lane of the interactive streams.
  double max_interactive_fraction = 0.6;
  /// Cost of a bulk stream on an engine of the interactive lane, in
  /// milliseconds.
  double bulk_on_interactive_engine_ms = 3000;
  /// Cost of an interactive stream on an engine of the bulk lane, in
  /// milliseconds.
  double interactive_on_bulk_engine_ms = 150;
  /// Cost of a server in another failure domain, in milliseconds. Stands for
  /// the round trip and the price of the traffic.
  double other_failure_domain_ms = 4;
  /// Cost for each interactive stream that already runs on the engine, as a
  /// fraction of the prefill time of the new prompt.
  double interference = 0.15;
  /// Cost of a server that fails every request, in milliseconds; scaled by the
  /// server's failure rate.
  double failure_ms = 3000;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_
