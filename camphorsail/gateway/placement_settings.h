#ifndef CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_
#define CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Settings of a `Placement`. The engine's figures are those of the
/// deployments' engine sheets.
struct PlacementSettings {
  FailureDomainId failure_domain;
  /// Prompt tokens that an engine reads in a millisecond.
  double prefill_tokens_per_ms = 66;
  /// Milliseconds for a million pairs of a prompt's tokens, on top.
  double prefill_ms_per_million_pairs = 0.276;
  /// Milliseconds of one batch step without prompts, and for each request in
  /// it.
  double step_ms = 3.9;
  double step_ms_per_request = 0.028;
  /// Time of a plain service's call on an idle server.
  double call_ms = 20;
  /// Cost of reading a token of a shared prefix that another engine has cached,
  /// in milliseconds: the deployments charge for it about as much as for a
  /// request that waits this long.
  double reread_ms_per_token = 0.6;
  /// Cost for each place that an engine is behind the home of a prefix, in
  /// milliseconds. Has all gateways spill to the same engines.
  double behind_home_ms = 2;
  /// Part of the engines' time that is in demand below which a prefix has one
  /// home, and above which it has two.
  double one_home_utilization = 0.4;
  double two_homes_utilization = 0.7;
  /// Engines that quick streams prefer, as a multiple of those that their work
  /// would fill; bulk streams prefer the others. The rest is divided in the
  /// same proportion.
  double quick_headroom = 1.5;
  /// Bounds of the part of the engines that quick streams prefer.
  double min_quick_part = 0.2;
  double max_quick_part = 0.6;
  /// Cost of an engine that is for the other kind of stream, in milliseconds.
  double bulk_elsewhere_ms = 3000;
  double quick_elsewhere_ms = 150;
  /// Cost of another failure domain, in milliseconds: the round trip and the
  /// price of the bytes.
  double other_domain_ms = 4;
  /// Cost of a quick stream on the engine, as a part of the time in which it
  /// reads a new prompt.
  double interference = 0.15;
  /// Cost of a server that fails every request, in milliseconds.
  double failure_ms = 3000;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PLACEMENT_SETTINGS_H_
