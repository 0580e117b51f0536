#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_ANNOUNCEMENT_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_ANNOUNCEMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/scheduling/scheduler_types.h"
#include "nlohmann/json_fwd.hpp"

MSGPACK_ADD_ENUM(camphorsail::ServerKind)

namespace camphorsail {

/// Maximum number of targets in one announcement.
constexpr size_t kMaxServerTargets = 64;
/// Maximum number of cached blocks, and also of evicted blocks, in one
/// announcement.
constexpr size_t kMaxCacheEvents = 4096;
/// Maximum capacity of a server, in requests that run at the same time.
constexpr int kMaxServerCapacity = 100000;

/// Version of an announcement. Orders the announcements of one backend server:
/// first by its restarts, then by the number of the announcement.
struct AnnouncementVersion {
  Incarnation incarnation;
  AnnouncementSequence sequence;

  friend auto operator<=>(const AnnouncementVersion&,
                          const AnnouncementVersion&) = default;
  MSGPACK_DEFINE(incarnation, sequence)
};

/// Properties of a server that rarely change.
struct ServerDescription {
  /// IP address and port of the server.
  std::string address;
  FailureDomainId failure_domain;
  std::string region;
  ServerKind kind = ServerKind::kModelEngine;
  /// Models or services that the server provides, sorted and unique. The ids of
  /// services have the type `ModelId` too.
  std::vector<ModelId> targets;
  /// Number of requests that the server runs at the same time.
  int capacity = 1;
  /// True when the server rejects orders with a stale fencing token.
  bool checks_fencing_tokens = false;
  /// True when the provider may reclaim the server, see `ServerTenure`.
  bool reclaimable = false;

  friend bool operator==(const ServerDescription&,
                         const ServerDescription&) = default;
  MSGPACK_DEFINE(address,
                 failure_domain,
                 region,
                 kind,
                 targets,
                 capacity,
                 checks_fencing_tokens,
                 reclaimable)
};

/// Load of a server, which each announcement updates.
struct ServerLoad {
  /// Number of requests running on the server and waiting in its queue.
  int running = 0;
  int waiting = 0;
  /// Fraction of the KV cache in use, in thousandths.
  int kv_permille = 0;
  /// Ids of the prefix blocks cached and evicted since the previous
  /// announcement.
  std::vector<uint64_t> cached_blocks;
  std::vector<uint64_t> evicted_blocks;
  /// True when the server reports that it lost cache events since the previous
  /// announcement.
  bool cache_gap = false;

  friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
  MSGPACK_DEFINE(running,
                 waiting,
                 kv_permille,
                 cached_blocks,
                 evicted_blocks,
                 cache_gap)
};

/// One announcement of a backend server.
struct ServerAnnouncement {
  BackendServerId server;
  AnnouncementVersion version;
  /// True when the server accepts no new requests. This is final within an
  /// incarnation.
  bool leaving = false;
  ServerDescription description;
  ServerLoad load;
  /// Age of `load` when the message was sent, in milliseconds.
  uint32_t age_ms = 0;
  /// Time from the last message of the server to any VM until this message was
  /// sent, in milliseconds; 0 in announcements from the server itself.
  uint32_t since_heard_ms = 0;

  friend bool operator==(const ServerAnnouncement&,
                         const ServerAnnouncement&) = default;
  MSGPACK_DEFINE(server,
                 version,
                 leaving,
                 description,
                 load,
                 age_ms,
                 since_heard_ms)
};

/// @param json The body of `POST /backend/v1/announce`, an object. Required
/// members: `id`, `incarnation`, `sequence`, `address`, `failure_domain`,
/// `kind` (`model` or `service`), `targets` and `capacity`. Optional members:
/// `region`, `checks_fencing_tokens`, `leaving`, `running`, `waiting`,
/// `kv_usage` (0 to 1), `cached_blocks`, `evicted_blocks`, `cache_gap` and
/// `age_ms`.
/// @return The announcement; `kInvalidRequest` with the name of the first
/// member that is missing or has an invalid value.
Expected<ServerAnnouncement> ParseServerAnnouncement(
    const nlohmann::json& json);

/// @return The announcement as JSON that `ParseServerAnnouncement` can parse.
nlohmann::json RenderServerAnnouncement(const ServerAnnouncement& announcement);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_ANNOUNCEMENT_H_
