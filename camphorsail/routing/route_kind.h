#ifndef CAMPHORSAIL_ROUTING_ROUTE_KIND_H_
#define CAMPHORSAIL_ROUTING_ROUTE_KIND_H_

#include <cstdint>

#include "msgpack.hpp"

namespace camphorsail {

/// What a route's requests are and whether they may be repeated.
enum class RouteKind : uint8_t {
  /// A call that may run any number of times.
  kIdempotent,
  /// A call that may run at most once.
  kNonIdempotent,
  /// A generation whose answer is a stream of events. May run again only where
  /// the route is resumable.
  kStream,
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::RouteKind)

#endif  // CAMPHORSAIL_ROUTING_ROUTE_KIND_H_
