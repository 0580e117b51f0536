#ifndef CAMPHORSAIL_PLACEMENT_ENGINE_DEMAND_H_
#define CAMPHORSAIL_PLACEMENT_ENGINE_DEMAND_H_

#include "msgpack.hpp"

namespace camphorsail {

/// Work that arrives for the engines, in milliseconds of engine time per
/// second. Determines how the engines are divided into lanes, see `Placement`.
struct EngineDemand {
  /// Work of the streams with a short latency objective for the first event.
  double interactive = 0;
  /// Work of all other requests to engines.
  double bulk = 0;
  /// Requests of both kinds per second; tells how accurate the other two values
  /// are.
  double requests = 0;
  /// Those of `requests` that belong to the interactive lane.
  double interactive_requests = 0;

  EngineDemand& operator+=(const EngineDemand& other) {
    interactive += other.interactive;
    bulk += other.bulk;
    requests += other.requests;
    interactive_requests += other.interactive_requests;
    return *this;
  }

  MSGPACK_DEFINE(interactive, bulk, requests, interactive_requests)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ENGINE_DEMAND_H_
