#ifndef CAMPHORSAIL_MEMBERSHIP_HELD_ANNOUNCEMENTS_H_
#define CAMPHORSAIL_MEMBERSHIP_HELD_ANNOUNCEMENTS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/membership/server_announcement.h"

namespace camphorsail {

/// The latest announcements of backend servers whose service is not configured
/// yet. They are kept apart from the `ServerRegistry`, so that they can neither
/// take the place of a server that is in use nor reach other VMs. Owned by
/// `ServerDirectory`; not thread-safe.
class HeldAnnouncements {
 public:
  /// Bounds the memory that announcements of unknown services can take.
  static constexpr size_t kMaxServers = 1024;
  /// An announcement that was not repeated within this time is dropped, as the
  /// registry does with a silent server.
  static constexpr absl::Duration kLifetime = absl::Seconds(3);

  /// Keeps an announcement in place of the server's previous one.
  /// @return True when there was no previous one; `kOverloaded` when there are
  /// too many servers.
  Expected<bool> Hold(const ServerAnnouncement& announcement, MonoTime now);
  void Erase(const BackendServerId& server) { held_.erase(server); }
  /// @return The announcements that have not expired. None is held any more.
  std::vector<ServerAnnouncement> TakeAll(MonoTime now);
  size_t size() const { return held_.size(); }

 private:
  struct Held {
    ServerAnnouncement announcement;
    MonoTime received_at;
  };

  void DropExpired(MonoTime now);

  std::map<BackendServerId, Held> held_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_HELD_ANNOUNCEMENTS_H_
