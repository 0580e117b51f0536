#ifndef CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_
#define CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// What every server of one service has in common.
struct ServiceProfile {
  ModelId name{};
  /// Path of the servers' health check.
  std::string health_path{};
  /// Connections that one server accepts from all callers together.
  int max_connections = 0;
  /// True for model engines; the fields below are theirs.
  bool is_engine = false;
  /// Requests that one engine runs at the same time.
  int slots = 0;
  /// Tokens that fit into one engine's KV cache.
  int64_t kv_capacity_tokens = 0;
  /// Output tokens in one event of a stream.
  int tokens_per_event = 1;

  friend bool operator==(const ServiceProfile&,
                         const ServiceProfile&) = default;
  MSGPACK_DEFINE(name,
                 health_path,
                 max_connections,
                 is_engine,
                 slots,
                 kv_capacity_tokens,
                 tokens_per_event)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_
