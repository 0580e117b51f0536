#ifndef CAMPHORSAIL_ROUTING_ROUTING_TABLE_DELTA_H_
#define CAMPHORSAIL_ROUTING_ROUTING_TABLE_DELTA_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// The difference between two versions of the routing table. Gateways get it
/// instead of the whole table, so that the cost of a change depends on what
/// changed and not on the number of routes. Contains everything but
/// `RoutingTable::document`, which gateways do not need.
struct RoutingTableDelta {
  /// Host and path prefix of a route, which identify it.
  using RouteKey = std::pair<std::string, std::string>;

  uint64_t base_version = 0;
  uint64_t version = 0;
  std::vector<RouteKey> removed_routes;
  /// Routes that are new or have changed.
  std::vector<Route> routes;
  std::vector<ModelId> removed_services;
  std::vector<ServiceProfile> services;
  std::vector<ClientAccountId> removed_accounts;
  std::vector<AccountKeys> accounts;
  CallerLimits limits;
  bool requires_api_keys = false;
  /// `DigestOf` of the newer table.
  uint64_t digest = 0;

  /// @return The delta that leads from `base` to `table`.
  static RoutingTableDelta Between(const RoutingTable& base,
                                   const RoutingTable& table);
  /// @return A hash of a table's version and content that does not depend on
  /// the order of its entries, nor on the document.
  static uint64_t DigestOf(const RoutingTable& table);

  /// @return The newer table, without a document. `kProtocolError` when `base`
  /// has another version than the delta's base, or when the result is not the
  /// table that the delta was made from.
  Expected<RoutingTable> ApplyTo(const RoutingTable& base) const;
  /// @return Number of entries, to bound the memory of stored deltas.
  size_t EntryCount() const;

  MSGPACK_DEFINE(base_version,
                 version,
                 removed_routes,
                 routes,
                 removed_services,
                 services,
                 removed_accounts,
                 accounts,
                 limits,
                 requires_api_keys,
                 digest)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_TABLE_DELTA_H_
