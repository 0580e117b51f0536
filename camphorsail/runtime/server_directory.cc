#include "camphorsail/runtime/server_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/http/json_body.h"
#include "camphorsail/membership/departure_store.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// @return True when both describe the same server. The kind follows from the
/// configuration of the service, and the capacity may change.
bool DescribeSameServer(const ServerDescription& a,
                        const ServerDescription& b) {
  return a.address == b.address && a.failure_domain == b.failure_domain &&
         a.targets == b.targets;
}

}  // namespace

ServerDirectory::ServerDirectory(ServerRegistrySettings settings, Hooks hooks)
    : hooks_(std::move(hooks)), registry_(std::move(settings)) {}

Expected<ServerAnnouncement> ServerDirectory::Announce(std::string_view body,
                                                       MonoTime now) {
  const Expected<nlohmann::json> json = ParseJsonBody(body);
  if (!json) {
    return tl::unexpected<Error>(json.error());
  }
  Expected<ServerAnnouncement> announcement = ParseServerAnnouncement(*json);
  if (!announcement) {
    return announcement;
  }
  if (Expected<void> taken = Announce(*announcement, now); !taken) {
    return tl::unexpected<Error>(taken.error());
  }
  return announcement;
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

Expected<void> ServerDirectory::Register(const ServerAnnouncement& announcement,
                                         MonoTime now) {
  std::optional<ServerAnnouncement> accepted;
  {
    absl::MutexLock lock(&mutex_);
    Expected<std::optional<ServerAnnouncement>> checked =
        Check(announcement, now);
    if (!checked) {
      return tl::unexpected<Error>(checked.error());
    }
    accepted = *std::move(checked);
  }
  return accepted.has_value() ? Announce(*accepted, now) : Expected<void>();
}

Expected<std::optional<ServerAnnouncement>> ServerDirectory::Check(
    const ServerAnnouncement& announcement,
    MonoTime now) {
  if (IsWithoutTable(now)) {
    return announcement;
  }
  const ServerDescription& description = announcement.description;
  const ServerEntry* known = registry_.Find(announcement.server);
  const bool is_known_incarnation =
      known != nullptr && known->announcement.version.incarnation ==
                              announcement.version.incarnation;
  // A departure of a server that was not known has no description.
  const bool is_contradiction =
      is_known_incarnation &&
      !known->announcement.description.targets.empty() &&
      !DescribeSameServer(known->announcement.description, description);
  const auto service = engine_services_.find(description.targets.front());
  const bool is_service_named = service != engine_services_.end();
  if (is_contradiction && (registry_.IsAvailable(announcement.server, now) ||
                           (announcement.leaving && !is_service_named))) {
    return Fail(
        ErrorKind::kInvalidRequest,
        absl::StrCat("backend server ", announcement.server.value(),
                     " has announced another address, failure domain or "
                     "service since its start"));
  }
  if (!is_service_named) {
    if (is_known_incarnation && !is_contradiction) {
      // Its service is no longer configured. It may come back, and the server
      // may be leaving.
      return announcement;
    }
    if (announcement.leaving) {
      held_.Erase(announcement.server);
      return std::nullopt;
    }
    const Expected<bool> is_new = held_.Hold(announcement, now);
    if (!is_new) {
      return tl::unexpected<Error>(is_new.error());
    }
    if (*is_new) {
      LogEvent("registration_held", LogLevel::kWarning)
          .Add("server", announcement.server)
          .Add("service", description.targets.front());
    }
    return std::nullopt;
  }
  if (service->second && description.kind != ServerKind::kModelEngine) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("service ", service->first.value(),
                             " has model engines, and backend server ",
                             announcement.server.value(), " names no models"));
  }
  held_.Erase(announcement.server);
  ServerAnnouncement accepted = announcement;
  accepted.description.kind =
      service->second ? ServerKind::kModelEngine : ServerKind::kService;
  return accepted;
}

bool ServerDirectory::IsWithoutTable(MonoTime now) {
  // A VM that starts applies its log within this time if there is a quorum.
  // Without one, gateways may still use the servers that announce themselves
  // here.
  constexpr absl::Duration kTableWait = absl::Seconds(3);
  if (!first_registration_at_.has_value()) {
    first_registration_at_ = now;
  }
  return !has_table_ && now - *first_registration_at_ >= kTableWait;
}

void ServerDirectory::SetServices(const std::vector<ServiceProfile>& services,
                                  MonoTime now) {
  std::vector<ServerAnnouncement> held;
  {
    absl::MutexLock lock(&mutex_);
    has_table_ = true;
    engine_services_.clear();
    for (const ServiceProfile& service : services) {
      engine_services_[service.name] = service.is_engine;
    }
    held = held_.TakeAll(now);
  }
  for (const ServerAnnouncement& announcement : held) {
    if (const Expected<void> accepted = Register(announcement, now);
        !accepted) {
      LogEvent("registration_refused", LogLevel::kWarning)
          .Add("server", announcement.server)
          .Add("code", GetErrorTraits(accepted.error().kind).code)
          .Add("message", accepted.error().message);
    }
  }
}

ServerDeparture ServerDirectory::Leave(const BackendServerId& server,
                                       std::optional<Incarnation> incarnation,
                                       MonoTime now) {
  ServerDeparture departure;
  {
    absl::MutexLock lock(&mutex_);
    const ServerEntry* known = registry_.Find(server);
    const Incarnation known_incarnation =
        known == nullptr ? Incarnation()
                         : known->announcement.version.incarnation;
    if (known != nullptr &&
        incarnation.value_or(known_incarnation) == known_incarnation) {
      departure = MakeDeparture(known->announcement);
    } else {
      departure.server = server;
      departure.version.incarnation = incarnation.value_or(Incarnation());
    }
    held_.Erase(server);
    MergeDeparture(departure, now, now);
  }
  Publish(now);
  return departure;
}

void ServerDirectory::OnDepartures(const std::vector<DepartureRecord>& records,
                                   absl::Time wall_now,
                                   MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    for (const DepartureRecord& record : records) {
      // The clocks of the VMs differ.
      const absl::Duration age =
          std::clamp(wall_now - absl::FromUnixMicros(record.recorded_micros),
                     absl::ZeroDuration(), DepartureStore::kRetention);
      MergeDeparture(record.departure, now - age, now);
    }
  }
  Publish(now);
}

void ServerDirectory::MergeDeparture(const ServerDeparture& departure,
                                     MonoTime recorded_at,
                                     MonoTime now) {
  if (const Expected<void> merged =
          registry_.OnDeparture(departure, recorded_at, now);
      !merged) {
    LogEvent("announcement_refused", LogLevel::kWarning)
        .Add("server", departure.server)
        .Add("code", GetErrorTraits(merged.error().kind).code)
        .Add("message", merged.error().message);
  }
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
