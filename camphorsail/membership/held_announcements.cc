#include "camphorsail/membership/held_announcements.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace camphorsail {

Expected<bool> HeldAnnouncements::Hold(const ServerAnnouncement& announcement,
                                       MonoTime now) {
  const auto known = held_.find(announcement.server);
  if (known != held_.end()) {
    if (announcement.version > known->second.announcement.version) {
      known->second.announcement = announcement;
    }
    known->second.received_at = now;
    return false;
  }
  if (held_.size() >= kMaxServers) {
    DropExpired(now);
  }
  if (held_.size() >= kMaxServers) {
    return Fail(ErrorKind::kOverloaded,
                absl::StrCat("backend server ", announcement.server.value(),
                             " cannot be added: ", kMaxServers,
                             " servers of services that are not configured "
                             "are known"));
  }
  held_.emplace(announcement.server, Held{announcement, now});
  return true;
}

std::vector<ServerAnnouncement> HeldAnnouncements::TakeAll(MonoTime now) {
  DropExpired(now);
  std::vector<ServerAnnouncement> announcements;
  announcements.reserve(held_.size());
  for (auto& [server, held] : held_) {
    announcements.push_back(std::move(held.announcement));
  }
  held_.clear();
  return announcements;
}

void HeldAnnouncements::DropExpired(MonoTime now) {
  std::erase_if(held_, [now](const auto& item) {
    return now - item.second.received_at >= kLifetime;
  });
}

}  // namespace camphorsail
