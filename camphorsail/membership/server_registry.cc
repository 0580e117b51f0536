#include "camphorsail/membership/server_registry.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {
namespace {

absl::Duration Millis(uint32_t millis) {
  return absl::Milliseconds(millis);
}

/// @return The age of `time` in milliseconds, clamped to the range of
/// `uint32_t`.
uint32_t AgeMillis(MonoTime time, MonoTime now) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      absl::ToInt64Milliseconds(now - time), 0, UINT32_MAX));
}

/// @return The digest bucket of the server.
size_t BucketOf(const BackendServerId& server) {
  return Fnv1a64(server.value()) % RegistryDigest::kBuckets;
}

/// Removes `blocks` from the list `from`.
void EraseBlocks(std::vector<uint64_t>* from,
                 const std::vector<uint64_t>& blocks) {
  if (from->empty() || blocks.empty()) {
    return;
  }
  const absl::flat_hash_set<uint64_t> set(blocks.begin(), blocks.end());
  std::erase_if(*from, [&](uint64_t block) { return set.contains(block); });
}

/// Appends the cache events of `next` to those of `load`. A later event for a
/// block replaces an earlier one.
/// @return False when there were more than `kMaxCacheEvents` events; all events
/// are then dropped.
bool AppendEvents(ServerLoad* load, const ServerLoad& next) {
  EraseBlocks(&load->cached_blocks, next.evicted_blocks);
  EraseBlocks(&load->evicted_blocks, next.cached_blocks);
  load->cached_blocks.insert(load->cached_blocks.end(),
                             next.cached_blocks.begin(),
                             next.cached_blocks.end());
  load->evicted_blocks.insert(load->evicted_blocks.end(),
                              next.evicted_blocks.begin(),
                              next.evicted_blocks.end());
  if (load->cached_blocks.size() <= kMaxCacheEvents &&
      load->evicted_blocks.size() <= kMaxCacheEvents) {
    return true;
  }
  load->cached_blocks.clear();
  load->evicted_blocks.clear();
  return false;
}

}  // namespace

ServerRegistry::ServerRegistry(ServerRegistrySettings settings)
    : settings_(std::move(settings)) {}

Expected<void> ServerRegistry::OnAnnouncement(
    const ServerAnnouncement& announcement,
    MonoTime now) {
  ServerAnnouncement received = announcement;
  received.since_heard_ms = 0;
  switch (Merge(received, now)) {
    case MergeResult::kUnchanged:
      break;
    case MergeResult::kRegistryFull:
      return tl::unexpected<Error>(FullError(announcement.server));
    case MergeResult::kDescriptionChanged:
      pending_announcements_.insert(announcement.server);
      pending_loads_.erase(announcement.server);
      break;
    case MergeResult::kLoadChanged: {
      if (pending_announcements_.contains(announcement.server)) {
        break;
      }
      ServerLoadDelta& delta = pending_loads_[announcement.server];
      ServerLoad events = std::move(delta.load);
      AppendEvents(&events, announcement.load);
      delta = {announcement.server, announcement.version, announcement.age_ms,
               0, announcement.load};
      delta.load.cached_blocks = std::move(events.cached_blocks);
      delta.load.evicted_blocks = std::move(events.evicted_blocks);
      delta.load.cache_gap |= events.cache_gap;
      break;
    }
  }
  return {};
}

Error ServerRegistry::FullError(const BackendServerId& server) const {
  return Error{ErrorKind::kOverloaded,
               absl::StrCat("backend server ", server.value(),
                            " cannot be added: the limit of ",
                            settings_.capacity, " servers is reached"),
               absl::ZeroDuration()};
}

Expected<void> ServerRegistry::OnDeparture(const ServerDeparture& departure,
                                           MonoTime recorded_at,
                                           MonoTime now) {
  ServerAnnouncement announcement;
  announcement.server = departure.server;
  announcement.version = departure.version;
  announcement.leaving = true;
  announcement.description = departure.description;
  announcement.since_heard_ms = AgeMillis(recorded_at, now);
  // Digests tell the peers of older departures, of which a VM learns when it
  // starts. There may be thousands of them.
  const bool is_recent = now - recorded_at < settings_.silence_limit;
  const MergeResult result = Merge(announcement, now);
  if (result == MergeResult::kDescriptionChanged && is_recent) {
    pending_announcements_.insert(departure.server);
    pending_loads_.erase(departure.server);
  }
  return result == MergeResult::kRegistryFull
             ? tl::unexpected<Error>(FullError(departure.server))
             : Expected<void>();
}

void ServerRegistry::OnDeltas(const ServerDeltaBatch& deltas, MonoTime now) {
  for (const ServerAnnouncement& announcement : deltas.announcements) {
    Merge(announcement, now);
  }
  for (const ServerLoadDelta& delta : deltas.loads) {
    const auto it = entries_.find(delta.server);
    if (it != entries_.end() && it->second.announcement.version.incarnation ==
                                    delta.version.incarnation) {
      it->second.heard_at =
          std::max(it->second.heard_at, now - Millis(delta.since_heard_ms));
      MergeLoad(&it->second, delta.version, delta.load, delta.age_ms, now);
    }
  }
}

ServerRegistry::MergeResult ServerRegistry::Merge(
    const ServerAnnouncement& announcement,
    MonoTime now) {
  auto it = entries_.find(announcement.server);
  MergeResult result = MergeResult::kDescriptionChanged;
  if (it == entries_.end()) {
    // Without this check, a removed server would be added again by a peer that
    // has not yet removed it.
    if (Millis(announcement.since_heard_ms) >= RetentionPeriod(announcement)) {
      return MergeResult::kUnchanged;
    }
    if (!MakeRoom(now)) {
      return MergeResult::kRegistryFull;
    }
    it = entries_.try_emplace(announcement.server).first;
    it->second.announcement = announcement;
    it->second.heard_at = now - Millis(announcement.since_heard_ms);
  } else {
    if (announcement.version.incarnation <
        it->second.announcement.version.incarnation) {
      return MergeResult::kUnchanged;
    }
    result = MergeDescription(&it->second, announcement);
  }
  ServerEntry& entry = it->second;
  entry.heard_at =
      std::max(entry.heard_at, now - Millis(announcement.since_heard_ms));
  if (MergeLoad(&entry, announcement.version, announcement.load,
                announcement.age_ms, now) &&
      result == MergeResult::kUnchanged) {
    result = MergeResult::kLoadChanged;
  }
  if (result == MergeResult::kDescriptionChanged) {
    UpdateDigest(&entry);
    scheduler_changes_.insert(announcement.server);
    relay_changes_.insert(announcement.server);
  }
  return result;
}

ServerRegistry::MergeResult ServerRegistry::MergeDescription(
    ServerEntry* entry,
    const ServerAnnouncement& announcement) {
  ServerAnnouncement& current = entry->announcement;
  if (announcement.version.incarnation > current.version.incarnation) {
    current = announcement;
    entry->load = ServerLoad();
    entry->load_version = AnnouncementVersion();
    entry->available_via.clear();
    return MergeResult::kDescriptionChanged;
  }
  MergeResult result = MergeResult::kUnchanged;
  // Leaving is final, so it applies even when the announcement that states it
  // is older than the current one.
  if (announcement.leaving && !current.leaving) {
    current.leaving = true;
    result = MergeResult::kDescriptionChanged;
  }
  if (announcement.version.sequence > current.version.sequence) {
    current.version = announcement.version;
    if (!settings_.leaving_is_final &&
        current.leaving != announcement.leaving) {
      current.leaving = announcement.leaving;
      result = MergeResult::kDescriptionChanged;
    }
    if (current.description != announcement.description) {
      current.description = announcement.description;
      result = MergeResult::kDescriptionChanged;
    }
  }
  return result;
}

bool ServerRegistry::MergeLoad(ServerEntry* entry,
                               const AnnouncementVersion& version,
                               const ServerLoad& load,
                               uint32_t age_ms,
                               MonoTime now) {
  if (version <= entry->load_version) {
    return false;
  }
  const bool follows =
      version.incarnation == entry->load_version.incarnation &&
      version.sequence.value() == entry->load_version.sequence.value() + 1;
  entry->load.running = load.running;
  entry->load.waiting = load.waiting;
  entry->load.kv_permille = load.kv_permille;
  const bool complete = AppendEvents(&entry->load, load);
  entry->cache_events_gap |= !follows || !complete || load.cache_gap;
  entry->load_version = version;
  entry->reported_at = now - Millis(age_ms);
  scheduler_changes_.insert(entry->announcement.server);
  return true;
}

bool ServerRegistry::OnRelayChanges(const RelayChanges& changes, MonoTime now) {
  const auto known = relays_.find(changes.relay);
  if (!changes.whole_view && (known == relays_.end() ||
                              changes.sequence != known->second.sequence + 1)) {
    return false;
  }
  relays_[changes.relay] = {changes.sequence, now};
  if (changes.whole_view) {
    for (auto& [server, entry] : entries_) {
      entry.available_via.erase(changes.relay);
    }
  }
  for (const RelayChange& change : changes.changes) {
    Merge(change.announcement, now);
    const auto it = entries_.find(change.announcement.server);
    if (it == entries_.end() || it->second.announcement.version.incarnation !=
                                    change.announcement.version.incarnation) {
      continue;
    }
    if (change.available) {
      it->second.available_via.insert(changes.relay);
    } else {
      it->second.available_via.erase(changes.relay);
    }
  }
  return true;
}

bool ServerRegistry::OnRelayHeartbeat(const RelayHeartbeat& heartbeat,
                                      MonoTime now) {
  const auto known = relays_.find(heartbeat.relay);
  if (known == relays_.end() || known->second.sequence != heartbeat.sequence) {
    // `heard_at` is not updated, because the missing batch may have reported
    // that a server is no longer available.
    return false;
  }
  known->second.heard_at = now;
  return true;
}

void ServerRegistry::Tick(MonoTime now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    ServerEntry& entry = it->second;
    const bool available = IsAvailable(entry, now);
    if (available != entry.was_available) {
      entry.was_available = available;
      scheduler_changes_.insert(it->first);
      relay_changes_.insert(it->first);
    }
    if (!available && !entry.reported_available &&
        now - entry.heard_at >= RetentionPeriod(entry.announcement)) {
      Erase(it);
    }
    it = next;
  }
}

ServerRegistry::Changes ServerRegistry::TakeChanges(MonoTime now) {
  Tick(now);
  Changes changes;
  for (const BackendServerId& server : scheduler_changes_) {
    const auto it = entries_.find(server);
    if (it == entries_.end()) {
      continue;
    }
    ServerEntry& entry = it->second;
    if (!entry.was_available) {
      if (entry.reported_available) {
        changes.removed.push_back(server);
        entry.reported_available = false;
      }
      continue;
    }
    const ServerDescription& description = entry.announcement.description;
    ServerView& view = changes.views.emplace_back();
    view.server = server;
    view.incarnation = entry.announcement.version.incarnation;
    view.failure_domain = description.failure_domain;
    view.kind = description.kind;
    view.targets = description.targets;
    view.capacity = description.capacity;
    view.reported_running = entry.load.running;
    view.reported_waiting = entry.load.waiting;
    view.kv_usage = entry.load.kv_permille / 1000.0;
    view.reported_at = entry.reported_at;
    view.cached_blocks = std::exchange(entry.load.cached_blocks, {});
    view.evicted_blocks = std::exchange(entry.load.evicted_blocks, {});
    view.cache_events_gap = std::exchange(entry.cache_events_gap, false);
    entry.reported_available = true;
  }
  scheduler_changes_.clear();
  return changes;
}

ServerDeltaBatch ServerRegistry::TakeDeltas(MonoTime now) {
  ServerDeltaBatch batch;
  for (const BackendServerId& server : pending_announcements_) {
    const auto it = entries_.find(server);
    if (it != entries_.end()) {
      batch.announcements.push_back(Export(it->second, now));
    }
  }
  for (auto& [server, delta] : pending_loads_) {
    if (const ServerEntry* entry = Find(server)) {
      delta.age_ms = AgeMillis(entry->reported_at, now);
      delta.since_heard_ms = AgeMillis(entry->heard_at, now);
      batch.loads.push_back(std::move(delta));
    }
  }
  pending_announcements_.clear();
  pending_loads_.clear();
  return batch;
}

std::optional<RelayChanges> ServerRegistry::TakeRelayChanges(MonoTime now) {
  Tick(now);
  if (relay_changes_.empty()) {
    return std::nullopt;
  }
  RelayChanges out;
  out.relay = settings_.vm;
  out.sequence = ++relay_sequence_;
  for (const BackendServerId& server : relay_changes_) {
    if (const ServerEntry* entry = Find(server)) {
      out.changes.push_back({Export(*entry, now), entry->was_available});
    }
  }
  relay_changes_.clear();
  return out;
}

RelayChanges ServerRegistry::WholeView(MonoTime now) const {
  RelayChanges out;
  out.relay = settings_.vm;
  out.sequence = relay_sequence_;
  out.whole_view = true;
  for (const auto& [server, entry] : entries_) {
    out.changes.push_back({Export(entry, now), entry.was_available});
  }
  return out;
}

RelayHeartbeat ServerRegistry::Heartbeat(bool with_summary,
                                         MonoTime now) const {
  RelayHeartbeat out;
  out.relay = settings_.vm;
  out.sequence = relay_sequence_;
  if (!with_summary) {
    return out;
  }
  std::map<ModelId, size_t> targets;
  std::map<FailureDomainId, size_t> domains;
  for (const auto& [server, entry] : entries_) {
    if (IsAvailable(entry, now)) {
      domains.emplace(entry.announcement.description.failure_domain, 0);
      for (const ModelId& target : entry.announcement.description.targets) {
        targets.emplace(target, 0);
      }
    }
  }
  RelaySummary& summary = out.summary;
  for (auto& [target, position] : targets) {
    position = summary.targets.size();
    summary.targets.push_back(target);
  }
  for (auto& [domain, position] : domains) {
    position = summary.domains.size();
    summary.domains.push_back(domain);
  }
  summary.counts.resize(targets.size() * domains.size() * 4);
  for (const auto& [server, entry] : entries_) {
    if (!IsAvailable(entry, now)) {
      continue;
    }
    const ServerDescription& description = entry.announcement.description;
    for (const ModelId& target : description.targets) {
      uint32_t* row = &summary.counts[(targets[target] * domains.size() +
                                       domains[description.failure_domain]) *
                                      4];
      row[0] += 1;
      row[1] += static_cast<uint32_t>(description.capacity);
      row[2] += static_cast<uint32_t>(entry.load.running);
      row[3] += static_cast<uint32_t>(entry.load.waiting);
    }
  }
  return out;
}

ServerDeltaBatch ServerRegistry::OnDigest(const RegistryDigest& digest,
                                          MonoTime now) const {
  ServerDeltaBatch batch;
  if (digest == digest_) {
    return batch;
  }
  for (const auto& [server, entry] : entries_) {
    const size_t bucket = BucketOf(server);
    if (digest.bucket_hashes[bucket] != digest_.bucket_hashes[bucket]) {
      batch.announcements.push_back(Export(entry, now));
    }
  }
  return batch;
}

bool ServerRegistry::IsAvailable(const BackendServerId& server,
                                 MonoTime now) const {
  const ServerEntry* entry = Find(server);
  return entry != nullptr && IsAvailable(*entry, now);
}

bool ServerRegistry::IsAvailable(const ServerEntry& entry, MonoTime now) const {
  if (entry.announcement.leaving) {
    return false;
  }
  if (now - entry.heard_at < settings_.silence_limit) {
    return true;
  }
  return std::any_of(entry.available_via.begin(), entry.available_via.end(),
                     [&](const VmId& relay) {
                       const auto it = relays_.find(relay);
                       return it != relays_.end() &&
                              now - it->second.heard_at <
                                  settings_.silence_limit;
                     });
}

const ServerEntry* ServerRegistry::Find(const BackendServerId& server) const {
  const auto it = entries_.find(server);
  return it == entries_.end() ? nullptr : &it->second;
}

bool ServerRegistry::MakeRoom(MonoTime now) {
  if (entries_.size() < settings_.capacity) {
    return true;
  }
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!IsAvailable(it->second, now) && !it->second.reported_available &&
        (oldest == entries_.end() ||
         it->second.heard_at < oldest->second.heard_at)) {
      oldest = it;
    }
  }
  if (oldest == entries_.end()) {
    return false;
  }
  Erase(oldest);
  return true;
}

void ServerRegistry::Erase(
    std::map<BackendServerId, ServerEntry>::iterator it) {
  digest_.bucket_hashes[BucketOf(it->first)] ^= it->second.digest_hash;
  entries_.erase(it);
}

void ServerRegistry::UpdateDigest(ServerEntry* entry) {
  const ServerAnnouncement& current = entry->announcement;
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack(current.server);
  packer.pack(current.version.incarnation);
  packer.pack(current.leaving);
  packer.pack(current.description);
  const uint64_t hash =
      MixBits(Fnv1a64(std::string_view(buffer.data(), buffer.size())));
  digest_.bucket_hashes[BucketOf(current.server)] ^= entry->digest_hash ^ hash;
  entry->digest_hash = hash;
}

absl::Duration ServerRegistry::RetentionPeriod(
    const ServerAnnouncement& announcement) const {
  return announcement.leaving ? settings_.left_retention
                              : settings_.silent_retention;
}

ServerAnnouncement ServerRegistry::Export(const ServerEntry& entry,
                                          MonoTime now) const {
  // The load may be newer than the version of the announcement; the receiver
  // then replaces it with the next report. Only load deltas carry cache events.
  ServerAnnouncement out = entry.announcement;
  out.load = entry.load;
  out.load.cached_blocks.clear();
  out.load.evicted_blocks.clear();
  out.age_ms = AgeMillis(entry.reported_at, now);
  out.since_heard_ms = AgeMillis(entry.heard_at, now);
  return out;
}

}  // namespace camphorsail
