#ifndef CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/backend_server.h"
#include "camphorsail/gateway/engine_load.h"
#include "camphorsail/membership/server_registry.h"

namespace camphorsail {

/// The backend servers that a gateway may use. Belongs to the loop's thread.
class BackendFleet {
 public:
  using Servers = std::vector<Ref<BackendServer>>;

  /// Takes what changed in the registry.
  /// @param changes Of `registry`, taken at `now`.
  void Apply(const ServerRegistry::Changes& changes,
             const ServerRegistry& registry);

  /// @return The servers of a service that may get new work; empty when there
  /// are none.
  const Servers& ServersOf(const ModelId& service) const;

  /// @return This gateway's requests on each server that has any.
  std::vector<EngineLoad> Loads(MonoTime now) const;
  /// Takes the other gateways' requests on each server that has any.
  void OnOthersLoads(const std::vector<EngineLoad>& loads, MonoTime now);

 private:
  void Add(const ServerView& view, const ServerAnnouncement& announcement);
  void Remove(const BackendServerId& id);

  std::map<BackendServerId, Ref<BackendServer>> servers_;
  absl::flat_hash_map<ModelId, Servers> by_service_;
  /// The server with the latest start at each address.
  absl::flat_hash_map<std::string, Ref<BackendServer>> by_address_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_FLEET_H_
