#include "camphorsail/gateway/backend_fleet.h"

#include <algorithm>
#include <utility>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/header_text.h"
#include "camphorsail/gateway/server_pace_log.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Time for which a server that has left is remembered. Announcements are not
/// delayed for longer.
constexpr absl::Duration kLeavingMemory = absl::Minutes(10);
/// Time after the first server, or after the first routing table with a
/// service, within which a gateway hears of all servers that were running
/// before: the time after which a silent server counts as gone.
constexpr absl::Duration kFirstViewTime = absl::Seconds(3);

}  // namespace

void BackendFleet::Apply(const ServerRegistry::Changes& changes,
                         const ServerRegistry& registry,
                         MonoTime now) {
  std::erase_if(leaving_, [&](const auto& item) {
    return now - item.second.removed_at > kLeavingMemory;
  });
  for (const BackendServerId& id : changes.removed) {
    Remove(id, now);
  }
  for (const ServerView& view : changes.views) {
    if (const ServerEntry* entry = registry.Find(view.server)) {
      const bool is_new =
          !view.targets.empty() && KnowsServersOf(view.targets.front(), now);
      Add(view, entry->announcement, is_new, now);
    }
  }
}

void BackendFleet::SetServices(const std::vector<ServiceProfile>& services,
                               MonoTime now) {
  absl::flat_hash_map<ModelId, MonoTime> named_since;
  for (const ServiceProfile& service : services) {
    const bool was_named =
        services_.has_value() && services_->contains(service.name);
    named_since[service.name] = was_named ? services_->at(service.name) : now;
  }
  services_ = std::move(named_since);
  const std::map<BackendServerId, Unnamed> unnamed =
      std::exchange(unnamed_, {});
  for (const auto& [id, server] : unnamed) {
    // It may have run for long.
    Add(server.view, server.announcement, /*is_new=*/false, now);
  }
}

const BackendFleet::Servers& BackendFleet::ServersOf(
    const ModelId& service) const {
  static const Servers* const none = new Servers;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? *none : found->second;
}

std::vector<GatewayServerLoad> BackendFleet::TakeLoads(MonoTime now) {
  std::vector<GatewayServerLoad> loads;
  for (const auto& [id, server] : servers_) {
    const GatewayServerLoad load = server->TakeOwnLoad(now);
    if (!load.IsEmpty()) {
      loads.push_back(load);
    }
  }
  return loads;
}

void BackendFleet::OnOtherGatewaysLoads(
    const std::vector<GatewayServerLoad>& loads,
    MonoTime now) {
  absl::flat_hash_map<uint64_t, const GatewayServerLoad*> by_server;
  for (const GatewayServerLoad& load : loads) {
    by_server[load.server] = &load;
  }
  absl::flat_hash_map<ModelId, double> service_answers;
  for (const auto& [id, server] : servers_) {
    if (const auto load = by_server.find(server->hash);
        load != by_server.end()) {
      service_answers[server->service] += load->second->answers;
    }
  }
  for (const auto& [id, server] : servers_) {
    const auto found = by_server.find(server->hash);
    const GatewayServerLoad load =
        found == by_server.end() ? GatewayServerLoad() : *found->second;
    server->OnOtherGatewaysLoad(load, now);
    if (!server->pace.is_active()) {
      continue;
    }
    server->pace.OnSharedAnswers(
        {static_cast<double>(load.in_flight), static_cast<double>(load.answers),
         static_cast<double>(load.late_answers),
         service_answers[server->service]},
        server->slots, now);
    LogPaceEnd(server.get());
  }
}

bool BackendFleet::KnowsServersOf(const ModelId& service, MonoTime now) const {
  if (!first_server_at_.has_value() ||
      now - *first_server_at_ <= kFirstViewTime) {
    return false;
  }
  if (!services_.has_value()) {
    return true;
  }
  const auto named = services_->find(service);
  return named == services_->end() || now - named->second > kFirstViewTime;
}

void BackendFleet::Add(const ServerView& view,
                       const ServerAnnouncement& announcement,
                       bool is_new,
                       MonoTime now) {
  const Expected<NetworkAddress> address =
      ParseNetworkAddress(announcement.description.address);
  // The id is written into the head of each request to the server.
  if (!address || view.targets.empty() || !IsHeaderToken(view.server.value())) {
    LogEvent("server_unusable", LogLevel::kWarning)
        .Add("server", view.server)
        .Add("address", announcement.description.address);
    return;
  }
  if (services_.has_value() && !services_->contains(view.targets.front())) {
    Remove(view.server, now);
    if (unnamed_.insert_or_assign(view.server, Unnamed{view, announcement})
            .second) {
      LogEvent("server_unusable", LogLevel::kWarning)
          .Add("server", view.server)
          .Add("service", view.targets.front())
          .Add("reason", "no routing table names the service");
    }
    return;
  }
  unnamed_.erase(view.server);
  bool replaces_another = false;
  const auto known = servers_.find(view.server);
  if (known != servers_.end()) {
    BackendServer& server = *known->second;
    if (server.incarnation == view.incarnation && server.address == *address &&
        server.service == view.targets.front()) {
      server.slots = std::max(1, view.capacity);
      return;
    }
    replaces_another = server.incarnation < view.incarnation;
    Remove(view.server, now);
  }
  Ref<BackendServer>& holder = by_address_[announcement.description.address];
  if (holder) {
    if (holder->incarnation > view.incarnation) {
      // A late announcement of a server that a newer server at the same address
      // has replaced.
      LogEvent("server_superseded")
          .Add("server", view.server)
          .Add("by", holder->id);
      return;
    }
    replaces_another = true;
    Remove(BackendServerId(holder->id), now);
  }
  auto server = MakeRef<BackendServer>();
  server->id = view.server;
  server->hash = StableHash(view.server.value());
  server->incarnation = view.incarnation;
  server->address = *address;
  server->failure_domain = view.failure_domain;
  server->service = view.targets.front();
  server->slots = std::max(1, view.capacity);
  server->known_since = now;
  const auto left = leaving_.find(view.server);
  if (left != leaving_.end() && left->second.incarnation >= view.incarnation) {
    server->wishes.OnLeaving();
  }
  if (paces_servers_ && (is_new || replaces_another)) {
    server->pace.Begin(server->slots, now);
    LogPaceBegin(*server, replaces_another ? "replaced" : "started");
  }
  first_server_at_ = first_server_at_.value_or(now);
  servers_[view.server] = server;
  has_had_servers_ = true;
  by_address_[announcement.description.address] = server;
  Servers& servers = by_service_[server->service];
  servers.insert(std::upper_bound(servers.begin(), servers.end(), server,
                                  [](const Ref<BackendServer>& a,
                                     const Ref<BackendServer>& b) {
                                    return a->hash < b->hash;
                                  }),
                 server);
  LogEvent("server_available")
      .Add("server", view.server)
      .Add("service", server->service)
      .Add("address", announcement.description.address)
      .Add("failure_domain", server->failure_domain);
}

void BackendFleet::Remove(const BackendServerId& id, MonoTime now) {
  unnamed_.erase(id);
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  const Ref<BackendServer> server = std::move(found->second);
  servers_.erase(found);
  server->available = false;
  if (server->wishes.is_leaving()) {
    leaving_[id] = {server->incarnation, now};
  }
  std::erase(by_service_[server->service], server);
  const auto holder = by_address_.find(ToString(server->address));
  if (holder != by_address_.end() && holder->second == server) {
    by_address_.erase(holder);
  }
  LogEvent("server_unavailable").Add("server", id);
}

}  // namespace camphorsail
