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
  /// Home engines of one prefix.
  int homes = 2;
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
