#ifndef CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_
#define CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// Finds what a request needs of a routing table. Immutable; requests in
/// progress keep the index with which they began.
class RouteIndex : public RefCounted<RouteIndex> {
 public:
  explicit RouteIndex(Ref<SharedRoutingTable> table);

  const RoutingTable& table() const { return table_->table; }

  /// @param host Value of the request's `Host` header; a port is ignored.
  /// @param path Path with or without a query.
  /// @return The route of that host with the longest matching prefix; null when
  /// there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return The account that holds the key; null when none does.
  const AccountKeys* FindAccount(std::string_view api_key) const;

  /// Number of urgencies, as engines tell them apart.
  static constexpr int kUrgencies = 10;

  /// Ranks a request among all that the table allows: by its account, and
  /// within one rank of accounts by its route.
  /// @param account Null on public routes.
  /// @return 0, the most urgent, to `kUrgencies` - 1.
  int UrgencyOf(const AccountKeys* account, const Route& route) const;

  /// @return The service; null when the table does not name it.
  const ServiceProfile* FindService(const ModelId& service) const;

 private:
  const Ref<SharedRoutingTable> table_;
  /// By host; each list from the longest prefix to the shortest.
  absl::flat_hash_map<std::string, std::vector<const Route*>> routes_;
  absl::flat_hash_map<std::string, const AccountKeys*> accounts_;
  absl::flat_hash_map<ModelId, const ServiceProfile*> services_;
  /// The ranks of accounts and routes that occur together, the most urgent
  /// first.
  std::vector<std::pair<int, int>> ranks_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTE_INDEX_H_
