#ifndef CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/membership/server_registry.h"
#include "camphorsail/placement/backend_server.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/routing/service_profile.h"

namespace camphorsail {

/// The backend servers that a gateway may use, by service. As in the routing
/// table, a service here is a plain service or a model that engines serve. Not
/// thread-safe; used on the event loop's thread only.
class BackendFleet {
 public:
  using Servers = BackendServers;

  /// @param is_enabled False when servers that start get no pace.
  void EnablePace(bool is_enabled) { paces_servers_ = is_enabled; }

  /// Adds and removes servers as the registry has changed.
  /// @param changes The changes that were taken from `registry`.
  void Apply(const ServerRegistry::Changes& changes,
             const ServerRegistry& registry,
             MonoTime now);

  /// Takes the services of a new routing table. A server of a service that no
  /// table names is not used, and takes the place of no other server, until
  /// there is one that does.
  void SetServices(const std::vector<ServiceProfile>& services, MonoTime now);

  /// @return The servers of a service that may get new requests, ordered by
  /// hash; empty when there are none.
  const Servers& ServersOf(const ModelId& service) const;

  /// @return True once there has been a server that may get requests.
  bool has_had_servers() const { return has_had_servers_; }

  /// @return The load of this gateway on each server where it has requests, or
  /// from which it had answers since the last call.
  std::vector<GatewayServerLoad> TakeLoads(MonoTime now);
  /// Takes the load of the other gateways.
  /// @param loads One entry for each server where they have requests.
  void OnOtherGatewaysLoads(const std::vector<GatewayServerLoad>& loads,
                            MonoTime now);

 private:
  /// A server that has said that it is leaving.
  struct Leaving {
    Incarnation incarnation;
    MonoTime removed_at;
  };

  /// A server of a service that the routing table does not name.
  struct Unnamed {
    ServerView view;
    ServerAnnouncement announcement;
  };

  /// @return True when the gateway, and the routing table with this service,
  /// have been there for long enough to know all servers that were running
  /// before, so that a server that the gateway did not know is new.
  bool KnowsServersOf(const ModelId& service, MonoTime now) const;
  /// @param is_new True for a server that has just started.
  void Add(const ServerView& view,
           const ServerAnnouncement& announcement,
           bool is_new,
           MonoTime now);
  void Remove(const BackendServerId& id, MonoTime now);

  std::map<BackendServerId, Ref<BackendServer>> servers_;
  bool has_had_servers_ = false;
  absl::flat_hash_map<ModelId, Servers> by_service_;
  /// The server with the highest incarnation at each address.
  absl::flat_hash_map<std::string, Ref<BackendServer>> by_address_;
  /// Servers that were removed after they had said that they are leaving. A
  /// late announcement must not bring them back.
  std::map<BackendServerId, Leaving> leaving_;
  /// The services of the routing table, and since when the tables have named
  /// them; nothing before the first table.
  std::optional<absl::flat_hash_map<ModelId, MonoTime>> services_;
  std::map<BackendServerId, Unnamed> unnamed_;
  /// When the first server was added.
  std::optional<MonoTime> first_server_at_;
  bool paces_servers_ = true;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_
