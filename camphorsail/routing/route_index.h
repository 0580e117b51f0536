#ifndef CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_
#define CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// Index of a routing table for the look-ups that a request needs. Immutable. A
/// request in progress keeps using the index with which it started when a newer
/// table replaces it.
class RouteIndex : public RefCounted<RouteIndex> {
 public:
  explicit RouteIndex(Ref<SharedRoutingTable> table);

  const RoutingTable& table() const { return table_->table; }

  /// @param host Value of the request's `Host` header; a port is ignored.
  /// @param path Path of the request; a query is ignored.
  /// @return The route of that host with the longest matching path prefix; null
  /// when no route matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return The account to which the API key belongs; null when the key is
  /// unknown.
  const AccountKeys* FindAccount(std::string_view api_key) const;

  /// Computes the urgency level of a request from the rank of its account and,
  /// among accounts of equal rank, from the rank of its route. Each pair of
  /// ranks that the table allows has its own level; when there are more pairs
  /// than levels, adjacent pairs share a level.
  /// @param account Null on public routes.
  /// @return The level, which is sent to the engine.
  Urgency UrgencyOf(const AccountKeys* account, const Route& route) const;

  /// @return The service; null when the table does not list it.
  const ServiceProfile* FindService(const ModelId& service) const;

 private:
  const Ref<SharedRoutingTable> table_;
  /// Routes by host in lower case. Each list is ordered from the longest path
  /// prefix to the shortest.
  absl::flat_hash_map<std::string, std::vector<const Route*>> routes_;
  /// Accounts by API key.
  absl::flat_hash_map<std::string, const AccountKeys*> accounts_;
  absl::flat_hash_map<ModelId, const ServiceProfile*> services_;
  /// All pairs of account rank and route rank that requests can have, most
  /// urgent first.
  std::vector<std::pair<int, int>> ranks_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_
