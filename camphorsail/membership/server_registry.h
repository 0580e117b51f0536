#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_REGISTRY_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/membership/server_announcement.h"
#include "camphorsail/membership/server_delta.h"
#include "camphorsail/membership/server_departure.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// Parameters of a `ServerRegistry`.
struct ServerRegistrySettings {
  /// The VM that owns the registry.
  VmId vm{};
  /// A server that has been silent for this long gets no new requests. Relays
  /// use 2 s, so that their daemons learn of it within 3 s.
  absl::Duration silence_limit = absl::Seconds(3);
  /// A server that has been silent for this long is removed from the registry.
  absl::Duration silent_retention = absl::Minutes(10);
  /// A leaving server is removed after this time since its last message. It is
  /// longer than `silent_retention`, because leaving is final: a removed server
  /// would count as new if a delayed announcement arrived.
  absl::Duration left_retention = absl::Hours(24);
  /// Maximum number of servers, more than twice the target size of the fleet.
  size_t capacity = 4096;
  /// True when this VM relays changes to other daemons. The registry itself
  /// behaves the same either way.
  bool relay = false;
  /// False only in the test that shows that the history check detects a server
  /// that is available again after leaving.
  bool leaving_is_final = true;
};

/// State of one server in a registry.
struct ServerEntry {
  /// Announcement with the highest version of the description. The load in it
  /// may be older than `load`.
  ServerAnnouncement announcement;
  /// Version of `load`.
  AnnouncementVersion load_version;
  /// Newest load. Its cache events are those since `TakeChanges` last reported
  /// the server.
  ServerLoad load;
  /// When the server measured `load`, on this VM's clock.
  MonoTime reported_at;
  /// When any VM last received a message from the server, on this VM's clock.
  MonoTime heard_at;
  /// True when cache events were lost since `TakeChanges` last reported the
  /// server.
  bool cache_events_gap = false;
  /// Relays that report the server as available; empty on VMs that no relay
  /// serves.
  std::set<VmId> available_via;
  /// Whether the server was available at the last `Tick`, and whether
  /// `TakeChanges` last reported it to the scheduler as available.
  bool was_available = false;
  bool reported_available = false;
  /// Hash of this entry, which is part of the hash of its digest bucket.
  uint64_t digest_hash = 0;
};

/// One VM's view of the backend servers, built from the servers' announcements
/// and from messages that peers or relays forward. Versions are ordered by
/// incarnation and sequence. Merging keeps the highest version, so that the
/// views of all VMs converge whatever the order of messages. Leaving is final
/// within an incarnation. Owned by the control path; not thread-safe.
class ServerRegistry {
 public:
  /// Changes of servers that the scheduler has to apply.
  struct Changes {
    /// Available servers with a new description or load.
    std::vector<ServerView> views;
    /// Servers that are no longer available for new requests.
    std::vector<BackendServerId> removed;
  };

  explicit ServerRegistry(ServerRegistrySettings settings);

  /// Merges an announcement that came from the server itself.
  /// @return `kOverloaded` when the registry is full. A stale announcement is
  /// not an error.
  Expected<void> OnAnnouncement(const ServerAnnouncement& announcement,
                                MonoTime now);
  /// Merges a departure, also of a server that is not known. The server is not
  /// available in this incarnation again.
  /// @param recorded_at When the departure was recorded, on this VM's clock.
  /// @return `kOverloaded` when the server is not known and the registry is
  /// full.
  Expected<void> OnDeparture(const ServerDeparture& departure,
                             MonoTime recorded_at,
                             MonoTime now);
  /// Merges updates that a peer forwarded.
  void OnDeltas(const ServerDeltaBatch& deltas, MonoTime now);

  /// Merges changes from a relay.
  /// @return False when an earlier batch from the relay was lost, or when the
  /// relay has not yet sent its whole view. The batch is then ignored, and the
  /// relay must send its whole view.
  bool OnRelayChanges(const RelayChanges& changes, MonoTime now);
  /// Notes that a relay is alive.
  /// @return False when a batch from the relay is missing; the relay must then
  /// send its whole view.
  bool OnRelayHeartbeat(const RelayHeartbeat& heartbeat, MonoTime now);

  /// Detects servers that have become silent and removes those that have been
  /// silent for too long. Must be called every 100 ms.
  void Tick(MonoTime now);

  /// @return Changes for the scheduler since the last call.
  Changes TakeChanges(MonoTime now);
  /// @return Updates to forward to the peers since the last call.
  ServerDeltaBatch TakeDeltas(MonoTime now);
  /// @return Changes since the last call for the daemons that this relay
  /// serves; nothing when there are none.
  std::optional<RelayChanges> TakeRelayChanges(MonoTime now);
  /// @return This relay's whole view, for a daemon that is new or lost a batch.
  RelayChanges WholeView(MonoTime now) const;
  /// @param with_summary True for daemons that prefer this relay over their
  /// other one.
  /// @return The heartbeat that this relay sends to its daemons.
  RelayHeartbeat Heartbeat(bool with_summary, MonoTime now) const;

  /// @return Digest of the view; loads are not part of it.
  const RegistryDigest& Digest() const { return digest_; }
  /// @param digest The digest of a peer.
  /// @return Announcements of all servers in the buckets in which this view
  /// differs from that of the peer.
  ServerDeltaBatch OnDigest(const RegistryDigest& digest, MonoTime now) const;

  /// @return True when the server may get new requests.
  bool IsAvailable(const BackendServerId& server, MonoTime now) const;
  /// @return The entry of the server; null when the server is unknown.
  const ServerEntry* Find(const BackendServerId& server) const;
  /// @return All servers, in order of their ids.
  const std::map<BackendServerId, ServerEntry>& entries() const {
    return entries_;
  }

 private:
  struct RelayState {
    /// Number of the last batch received from the relay.
    uint64_t sequence = 0;
    /// When a batch, or a heartbeat with that number, was last received.
    MonoTime heard_at;
  };

  /// Effect of a merge on the registry.
  enum class MergeResult : uint8_t {
    kUnchanged,
    kLoadChanged,
    kDescriptionChanged,
    kRegistryFull
  };

  Error FullError(const BackendServerId& server) const;
  /// Merges an announcement into the entry of its server, which is added when
  /// it is missing.
  MergeResult Merge(const ServerAnnouncement& announcement, MonoTime now);
  MergeResult MergeDescription(ServerEntry* entry,
                               const ServerAnnouncement& announcement);
  /// @return True when the load was newer than that of the entry.
  bool MergeLoad(ServerEntry* entry,
                 const AnnouncementVersion& version,
                 const ServerLoad& load,
                 uint32_t age_ms,
                 MonoTime now);
  /// When the registry is full, removes the unavailable server that has been
  /// silent for longest.
  /// @return False when the registry is still full.
  bool MakeRoom(MonoTime now);
  void Erase(std::map<BackendServerId, ServerEntry>::iterator it);
  /// Updates the digest after a change of the entry.
  void UpdateDigest(ServerEntry* entry);
  bool IsAvailable(const ServerEntry& entry, MonoTime now) const;
  /// @return Time since the server's last message after which it is removed.
  absl::Duration RetentionPeriod(const ServerAnnouncement& announcement) const;
  /// @return An announcement of the entry for another VM, without cache events.
  ServerAnnouncement Export(const ServerEntry& entry, MonoTime now) const;

  ServerRegistrySettings settings_;
  std::map<BackendServerId, ServerEntry> entries_;
  std::map<VmId, RelayState> relays_;
  RegistryDigest digest_;
  /// Servers whose changes `TakeChanges` reports to the scheduler next.
  std::set<BackendServerId> scheduler_changes_;
  /// Servers whose announcement `TakeDeltas` forwards to the peers next.
  std::set<BackendServerId> pending_announcements_;
  /// Load updates that `TakeDeltas` forwards to the peers next.
  std::map<BackendServerId, ServerLoadDelta> pending_loads_;
  /// Servers whose changes `TakeRelayChanges` sends to the daemons next.
  std::set<BackendServerId> relay_changes_;
  /// Number of the last batch that this VM sent as a relay.
  uint64_t relay_sequence_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_REGISTRY_H_
