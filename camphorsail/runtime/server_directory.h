#ifndef CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_
#define CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_

#include <functional>
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
#include "camphorsail/membership/server_registry.h"

namespace camphorsail {

/// The VM's `ServerRegistry`, shared by the announcement listener, the peer
/// transport and the tick thread. Thread-safe; the hooks run under no lock.
class ServerDirectory {
 public:
  struct Hooks {
    /// Available servers with news, and servers that get no new work.
    std::function<void(const ServerRegistry::Changes&)> on_changes;
    /// The set of models and services has changed.
    std::function<void(const TargetsEvent&)> on_targets;
    /// Send to all peers.
    std::function<void(const ServerDeltaBatch&)> send_deltas;
    std::function<void(const RegistryDigest&)> send_digest;
  };

  ServerDirectory(ServerRegistrySettings settings, Hooks hooks);

  /// Takes an announcement from a backend server.
  /// @param body JSON as `ParseServerAnnouncement` takes it.
  /// @return Nothing, or `kInvalidRequest` or `kOverloaded`.
  Expected<void> Announce(std::string_view body, MonoTime now);

  /// Takes an announcement that was decoded elsewhere.
  /// @return Nothing, or `kOverloaded`.
  Expected<void> Announce(const ServerAnnouncement& announcement, MonoTime now);
  /// The server gets no new work from now on; final within its incarnation.
  /// @return `kNotFound` for a server that is not known.
  Expected<void> Leave(const BackendServerId& server, MonoTime now);

  /// Has the next `Tick` send the digest.
  void RequestDigest();

  /// Takes what a peer learnt.
  void OnDeltas(const ServerDeltaBatch& deltas, MonoTime now);
  /// @return What the peer with this digest lacks; may be empty.
  ServerDeltaBatch OnDigest(const RegistryDigest& digest, MonoTime now);

  /// Finds silent servers and repairs gaps between VMs. Call every 100 ms.
  void Tick(MonoTime now);

  /// @return Where the server of this incarnation answers.
  BackendAddress Resolve(const BackendServerId& server,
                         Incarnation incarnation) const;

  /// Runs a function with the registry under its lock.
  void Inspect(
      const std::function<void(const ServerRegistry&)>& function) const;

 private:
  /// A lost delta is repaired within this time.
  static constexpr absl::Duration kDigestInterval = absl::Seconds(5);

  void Publish(MonoTime now);
  TargetsEvent CollectTargets() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Hooks hooks_;
  mutable absl::Mutex mutex_;
  ServerRegistry registry_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_digest_ ABSL_GUARDED_BY(mutex_);
  TargetsEvent targets_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_SERVER_DIRECTORY_H_
