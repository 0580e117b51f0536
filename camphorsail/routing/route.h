#ifndef CAMPHORSAIL_ROUTING_ROUTE_H_
#define CAMPHORSAIL_ROUTING_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/routing/route_kind.h"

namespace camphorsail {

/// Maximum number of attempts of one request, including attempts that did not
/// reach a server.
inline constexpr int kMaxAttempts = 4;

/// One of the services to which a route's requests are distributed.
struct RouteTarget {
  /// Name of a `ServiceProfile`.
  ModelId service;
  /// Share of the requests, relative to the sum of the weights of all targets
  /// of the route; not negative.
  double weight = 1;

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
  MSGPACK_DEFINE(service, weight)
};

/// How the gateway handles requests for one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  /// Path prefix that a request must match; begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<RouteTarget> targets;
  /// Priority rank of the route's requests among requests from accounts of
  /// equal rank; 0 is the highest.
  int rank = 0;
  /// Maximum number of servers on which one request is attempted.
  int max_attempts = 1;
  /// Maximum time until the answer is complete, in milliseconds.
  int64_t timeout_ms = 0;
  /// Latency objective for the complete answer or, on a stream route, for the
  /// first event, in milliseconds; 0 for none.
  int64_t objective_ms = 0;
  /// Longest pause between two events that still meets the objective, in
  /// milliseconds; 0 for none.
  int64_t max_event_gap_ms = 0;
  /// True when requests need no API key.
  bool is_public = false;
  /// True when requests on this route list the ids of their prompt parts, whose
  /// KV cache blocks an engine can reuse.
  bool names_prompt_parts = false;
  /// True when a stream that broke may be continued on another server.
  bool resumable = false;

  /// @return True when a request may be sent to another server although an
  /// earlier server may already have run it.
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
                 max_event_gap_ms,
                 is_public,
                 names_prompt_parts,
                 resumable)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTE_H_
