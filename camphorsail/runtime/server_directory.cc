#include "camphorsail/runtime/server_directory.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "camphorsail/http/json_body.h"

namespace camphorsail {

ServerDirectory::ServerDirectory(ServerRegistrySettings settings, Hooks hooks)
    : hooks_(std::move(hooks)), registry_(std::move(settings)) {}

Expected<void> ServerDirectory::Announce(std::string_view body, MonoTime now) {
  const Expected<nlohmann::json> json = ParseJsonBody(body);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  Expected<ServerAnnouncement> announcement = ParseServerAnnouncement(*json);
  if (!announcement) {
    return tl::unexpected<Error>(announcement.error());
  }
  return Announce(*announcement, now);
}

Expected<void> ServerDirectory::Announce(const ServerAnnouncement& announcement,
                                         MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (Expected<void> taken = registry_.OnAnnouncement(announcement, now);
        !taken) {
      return taken;
    }
  }
  Publish(now);
  return {};
}

Expected<void> ServerDirectory::Leave(const BackendServerId& server,
                                      MonoTime now) {
  ServerAnnouncement announcement;
  {
    absl::MutexLock lock(&mutex_);
    const ServerEntry* entry = registry_.Find(server);
    if (entry == nullptr) {
      return Fail(ErrorKind::kNotFound,
                  "unknown backend server " + server.value());
    }
    announcement = entry->announcement;
  }
  announcement.leaving = true;
  return Announce(announcement, now);
}

void ServerDirectory::RequestDigest() {
  absl::MutexLock lock(&mutex_);
  next_digest_ = MonoTime();
}

void ServerDirectory::OnDeltas(const ServerDeltaBatch& deltas, MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    registry_.OnDeltas(deltas, now);
  }
  Publish(now);
}

ServerDeltaBatch ServerDirectory::OnDigest(const RegistryDigest& digest,
                                           MonoTime now) {
  absl::MutexLock lock(&mutex_);
  return registry_.OnDigest(digest, now);
}

void ServerDirectory::Tick(MonoTime now) {
  std::optional<RegistryDigest> digest;
  {
    absl::MutexLock lock(&mutex_);
    registry_.Tick(now);
    if (now >= next_digest_) {
      next_digest_ = now + kDigestInterval;
      digest = registry_.Digest();
    }
  }
  Publish(now);
  if (digest.has_value()) {
    hooks_.send_digest(*digest);
  }
}

BackendAddress ServerDirectory::Resolve(const BackendServerId& server,
                                        Incarnation incarnation) const {
  absl::MutexLock lock(&mutex_);
  const ServerEntry* entry = registry_.Find(server);
  if (entry == nullptr ||
      entry->announcement.version.incarnation != incarnation) {
    return {};
  }
  return BackendAddress{entry->announcement.description.address};
}

void ServerDirectory::Inspect(
    const std::function<void(const ServerRegistry&)>& function) const {
  absl::MutexLock lock(&mutex_);
  function(registry_);
}

void ServerDirectory::Publish(MonoTime now) {
  ServerRegistry::Changes changes;
  ServerDeltaBatch deltas;
  std::optional<TargetsEvent> targets;
  {
    absl::MutexLock lock(&mutex_);
    changes = registry_.TakeChanges(now);
    deltas = registry_.TakeDeltas(now);
    if (!changes.views.empty()) {
      TargetsEvent collected = CollectTargets();
      if (collected.models != targets_.models ||
          collected.services != targets_.services) {
        targets_ = collected;
        targets = std::move(collected);
      }
    }
  }
  // Informs the scheduler first, so that it already knows the server when
  // requests for a new model are accepted.
  if (!changes.views.empty() || !changes.removed.empty()) {
    hooks_.on_changes(changes);
  }
  if (targets.has_value()) {
    hooks_.on_targets(*targets);
  }
  if (!deltas.empty()) {
    hooks_.send_deltas(deltas);
  }
}

TargetsEvent ServerDirectory::CollectTargets() const {
  // Includes servers that have left, so that a request for a model without
  // available servers is refused as unavailable, not as unknown.
  std::set<ModelId> models;
  std::set<ModelId> services;
  for (const auto& [id, entry] : registry_.entries()) {
    const ServerDescription& description = entry.announcement.description;
    std::set<ModelId>& names =
        description.kind == ServerKind::kModelEngine ? models : services;
    names.insert(description.targets.begin(), description.targets.end());
  }
  TargetsEvent targets;
  targets.models.assign(models.begin(), models.end());
  targets.services.assign(services.begin(), services.end());
  return targets;
}

}  // namespace camphorsail
