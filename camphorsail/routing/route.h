#ifndef CAMPHORSAIL_ROUTING_ROUTE_H_
#define CAMPHORSAIL_ROUTING_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/routing/route_kind.h"

namespace camphorsail {

/// A service that takes part of a route's requests.
struct RouteTarget {
  ModelId service;
  /// Relative to the sum over the route's targets.
  double weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
  MSGPACK_DEFINE(service, weight)
};

/// What is done with the requests for one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<RouteTarget> targets;
  /// Rank of the route's requests among those of accounts of one rank; 0 is the
  /// highest.
  int rank = 0;
  /// Most servers on which one request may run.
  int max_attempts = 1;
  /// Longest time to the final answer, in milliseconds.
  int64_t timeout_ms = 0;
  /// Latency objective for the answer, or for a stream's first event, in
  /// milliseconds; 0 for none.
  int64_t objective_ms = 0;
  /// Longest pause between two events that still meets the objective, in
  /// milliseconds; 0 for none.
  int64_t event_gap_ms = 0;
  /// True when requests need no API key.
  bool is_public = false;
  /// True when requests name the parts of their prompt, which engines cache.
  bool names_prompt_parts = false;
  /// True when a stream may be continued on another server.
  bool resumable = false;

  /// @return True when a request may run on a second server after it may have
  /// run on a first.
  bool MayRunAgain() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
  MSGPACK_DEFINE(name,
                 host,
                 path_prefix,
                 kind,
                 targets,
                 rank,
                 max_attempts,
                 timeout_ms,
                 objective_ms,
                 event_gap_ms,
                 is_public,
                 names_prompt_parts,
                 resumable)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTE_H_
