#ifndef CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_
#define CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/entry/targets_event.h"
#include "camphorsail/http/backend_address.h"
#include "camphorsail/membership/held_announcements.h"
#include "camphorsail/membership/server_departure.h"
#include "camphorsail/membership/server_registry.h"
#include "camphorsail/routing/service_profile.h"

namespace camphorsail {

/// The VM's `ServerRegistry`, shared by the announcement listener, the peer
/// transport and the tick thread. Thread-safe; no lock is held while hooks run.
class ServerDirectory {
 public:
  struct Hooks {
    /// Available servers whose state has changed, and servers that get no new
    /// requests.
    std::function<void(const ServerRegistry::Changes&)> on_changes;
    /// The set of models and services has changed.
    std::function<void(const TargetsEvent&)> on_targets;
    /// Sends changes of the registry to all peers.
    std::function<void(const ServerDeltaBatch&)> send_deltas;
    std::function<void(const RegistryDigest&)> send_digest;
  };

  ServerDirectory(ServerRegistrySettings settings, Hooks hooks);

  /// Parses and processes an announcement from a backend server.
  /// @param body JSON as expected by `ParseServerAnnouncement`.
  /// @return The announcement; `kInvalidRequest` or `kOverloaded`.
  Expected<ServerAnnouncement> Announce(std::string_view body, MonoTime now);

  /// Processes an announcement that is already decoded.
  /// @return Nothing, or `kOverloaded`.
  Expected<void> Announce(const ServerAnnouncement& announcement, MonoTime now);
  /// Processes an announcement in a deployment whose routing table names the
  /// services. One of a service that the table does not name is held until a
  /// table does. A VM that knows no table for long accepts all services.
  /// @return Nothing; `kInvalidRequest` when the announcement does not fit the
  /// service, or contradicts what the available server of this incarnation has
  /// announced, so that another sender has probably used its id; `kOverloaded`.
  Expected<void> Register(const ServerAnnouncement& announcement, MonoTime now);
  /// Takes the services of a new routing table.
  void SetServices(const std::vector<ServiceProfile>& services, MonoTime now);

  /// Marks a server as leaving, so that it gets no new requests. This is final
  /// for its incarnation and those before, also if the server is not known.
  /// @param incarnation The incarnation that leaves; without a value the one
  /// that is known. A server that states none has the incarnation 0.
  /// @return The departure.
  ServerDeparture Leave(const BackendServerId& server,
                        std::optional<Incarnation> incarnation,
                        MonoTime now);
  /// Merges departures from the replicated state.
  void OnDepartures(const std::vector<DepartureRecord>& records,
                    absl::Time wall_now,
                    MonoTime now);

  /// Makes the next `Tick` send the digest.
  void RequestDigest();

  /// Processes changes that a peer sent.
  void OnDeltas(const ServerDeltaBatch& deltas, MonoTime now);
  /// @return The entries that the peer with this digest lacks; may be empty.
  ServerDeltaBatch OnDigest(const RegistryDigest& digest, MonoTime now);

  /// Detects servers that have stopped announcing, and sends the digest by
  /// which VMs recover lost changes. Call every 100 ms.
  void Tick(MonoTime now);

  /// @return The address of the server; empty when it is not known with this
  /// incarnation.
  BackendAddress Resolve(const BackendServerId& server,
                         Incarnation incarnation) const;

  /// Runs a function with the registry under its lock.
  void Inspect(
      const std::function<void(const ServerRegistry&)>& function) const;

 private:
  /// Interval of digests, and thus the longest time until a lost delta is
  /// recovered.
  static constexpr absl::Duration kDigestInterval = absl::Seconds(5);

  /// Holds, corrects or refuses an announcement.
  /// @return The announcement for the registry; nothing when it is held.
  Expected<std::optional<ServerAnnouncement>> Check(
      const ServerAnnouncement& announcement,
      MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  /// @return True when no routing table is known, and has not been for so long
  /// that there may be no quorum.
  bool IsWithoutTable(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void MergeDeparture(const ServerDeparture& departure,
                      MonoTime recorded_at,
                      MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Publish(MonoTime now);
  TargetsEvent CollectTargets() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Hooks hooks_;
  mutable absl::Mutex mutex_;
  ServerRegistry registry_ ABSL_GUARDED_BY(mutex_);
  /// True once there has been a routing table.
  bool has_table_ ABSL_GUARDED_BY(mutex_) = false;
  /// The services of the table, and whether each is a model engine's.
  std::map<ModelId, bool> engine_services_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonoTime> first_registration_at_ ABSL_GUARDED_BY(mutex_);
  HeldAnnouncements held_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_digest_ ABSL_GUARDED_BY(mutex_);
  TargetsEvent targets_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_
