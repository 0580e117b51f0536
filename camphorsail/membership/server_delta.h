#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_DELTA_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_DELTA_H_

#include <array>
#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/membership/server_announcement.h"

namespace camphorsail {

/// Update of the load of a server whose description the receiver already has.
struct ServerLoadDelta {
  BackendServerId server;
  AnnouncementVersion version;
  /// Age of `load` when the message was sent, in milliseconds.
  uint32_t age_ms = 0;
  /// Time from the last message of the server to any VM until this message was
  /// sent, in milliseconds.
  uint32_t since_heard_ms = 0;
  ServerLoad load;

  MSGPACK_DEFINE(server, version, age_ms, since_heard_ms, load)
};

/// Updates that a VM received from the servers that announce to it and forwards
/// to its peers.
struct ServerDeltaBatch {
  /// Servers that are new, have a changed description or are leaving.
  std::vector<ServerAnnouncement> announcements;
  /// Servers of which only the load changed.
  std::vector<ServerLoadDelta> loads;

  bool empty() const { return announcements.empty() && loads.empty(); }
  MSGPACK_DEFINE(announcements, loads)
};

/// Digest of a VM's view. Servers are divided into buckets by a hash of their
/// ids, and the digest has one hash for each bucket. The receiver of a digest
/// answers with its servers in all buckets whose hashes differ.
struct RegistryDigest {
  /// Number of buckets. At the target size of 1,500 servers a bucket holds
  /// about 24, so that repairing one difference costs about 4 KB.
  static constexpr size_t kBuckets = 64;
  std::array<uint64_t, kBuckets> bucket_hashes{};

  friend bool operator==(const RegistryDigest&,
                         const RegistryDigest&) = default;
  MSGPACK_DEFINE(bucket_hashes)
};

/// State of one server in the view of a relay.
struct RelayChange {
  ServerAnnouncement announcement;
  /// False when the server is leaving or has been silent for too long.
  bool available = true;

  MSGPACK_DEFINE(announcement, available)
};

/// A batch of changes that a relay sends to the daemons that it serves.
struct RelayChanges {
  VmId relay;
  /// Number of this batch in the order in which the relay sends them. In a
  /// batch with the whole view, number of the last batch that the view
  /// includes.
  uint64_t sequence = 0;
  /// True when the batch contains all servers that the relay knows.
  bool whole_view = false;
  std::vector<RelayChange> changes;

  MSGPACK_DEFINE(relay, sequence, whole_view, changes)
};

/// Capacity and load of the available servers, summed for each pair of target
/// and failure domain. The compact form has one row of four counts for each
/// pair: servers, capacity, running requests and waiting requests.
struct RelaySummary {
  std::vector<ModelId> targets;
  std::vector<FailureDomainId> domains;
  /// Rows of four counts, ordered by target and then by failure domain.
  std::vector<uint32_t> counts;

  MSGPACK_DEFINE(targets, domains, counts)
};

/// Message that a relay sends at least once a second to show that it is alive.
struct RelayHeartbeat {
  VmId relay;
  /// Number of the last batch of changes that the relay sent. A daemon that has
  /// not received this batch has lost changes.
  uint64_t sequence = 0;
  /// Filled only for daemons that prefer this relay over their other one.
  RelaySummary summary;

  MSGPACK_DEFINE(relay, sequence, summary)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_DELTA_H_
