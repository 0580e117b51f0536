#ifndef CAMPHORSAIL_ROUTING_ROUTE_KIND_H_
#define CAMPHORSAIL_ROUTING_ROUTE_KIND_H_

#include <cstdint>

#include "msgpack.hpp"

namespace camphorsail {

/// Kind of a route's requests, which decides whether they may run again.
enum class RouteKind : uint8_t {
  /// A call that may run any number of times.
  kIdempotent,
  /// A call that may run at most once.
  kNonIdempotent,
  /// A call whose answer is a stream of events, such as generated tokens. May
  /// run again only when the route is resumable.
  kStream,
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::RouteKind)

#endif  // CAMPHORSAIL_ROUTING_ROUTE_KIND_H_
