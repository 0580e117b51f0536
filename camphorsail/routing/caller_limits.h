#ifndef CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_
#define CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_

#include <cstdint>

#include "msgpack.hpp"

namespace camphorsail {

/// Limits on the size of a caller's requests and on how long the caller may
/// take to send them. A caller is a client of the gateway.
struct CallerLimits {
  /// Maximum size of the header block of one request, in bytes.
  int64_t max_header_bytes = 16 << 10;
  /// Maximum size of the body of one request, in bytes.
  int64_t max_body_bytes = 4 << 20;
  /// Time within which all headers of a request must arrive, in milliseconds.
  int64_t header_timeout_ms = 10'000;
  /// A connection that has no request in progress is closed when no byte
  /// arrives for this time, in milliseconds.
  int64_t idle_timeout_ms = 60'000;

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
  MSGPACK_DEFINE(max_header_bytes,
                 max_body_bytes,
                 header_timeout_ms,
                 idle_timeout_ms)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_CALLER_LIMITS_H_
