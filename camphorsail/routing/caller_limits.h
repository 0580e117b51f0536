#ifndef CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_
#define CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_

#include <cstdint>

#include "msgpack.hpp"

namespace camphorsail {

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  /// Header block of one request, in bytes.
  int64_t max_header_bytes = 16 << 10;
  /// Body of one request, in bytes.
  int64_t max_body_bytes = 4 << 20;
  /// Time for a request's headers to arrive, in milliseconds.
  int64_t header_timeout_ms = 10'000;
  /// Time without a byte after which a connection without a request in progress
  /// is closed, in milliseconds.
  int64_t idle_timeout_ms = 60'000;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
  MSGPACK_DEFINE(max_header_bytes,
                 max_body_bytes,
                 header_timeout_ms,
                 idle_timeout_ms)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_
