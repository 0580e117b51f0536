#ifndef CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_
#define CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/routing/scaling_profile.h"

namespace camphorsail {

/// Properties that all servers of one service share.
struct ServiceProfile {
  /// Services and models share the id type.
  ModelId name{};
  /// URL path of the health check on each server.
  std::string health_path{};
  /// Maximum number of connections that one server accepts from all callers
  /// together.
  int max_connections = 0;
  /// True for model engines. The fields below apply only to engines.
  bool is_engine = false;
  /// Number of requests that one engine runs at the same time; an announcement
  /// calls it `ServerDescription::capacity`.
  int slots = 0;
  /// Capacity of one engine's KV cache, in tokens.
  int64_t kv_capacity_tokens = 0;
  /// Number of output tokens in each event of a stream.
  int tokens_per_event = 1;
  ScalingProfile scaling{};

  friend bool operator==(const ServiceProfile&,
                         const ServiceProfile&) = default;
  MSGPACK_DEFINE(name,
                 health_path,
                 max_connections,
                 is_engine,
                 slots,
                 kv_capacity_tokens,
                 tokens_per_event,
                 scaling)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_SERVICE_PROFILE_H_
