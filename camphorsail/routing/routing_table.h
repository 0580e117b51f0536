#ifndef CAMPHORSAIL_ROUTING_ROUTING_TABLE_H_
#define CAMPHORSAIL_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/routing/account_keys.h"
#include "camphorsail/routing/caller_limits.h"
#include "camphorsail/routing/route.h"
#include "camphorsail/routing/service_profile.h"

namespace camphorsail {

/// The complete routing configuration of the gateways, replaced as a whole. The
/// operators number the versions; the highest is in force. Replicated by the
/// control path; immutable once published.
struct RoutingTable {
  /// Zero before the first table.
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  CallerLimits limits;
  /// True when requests on routes that are not public need an API key.
  bool requires_keys = false;
  std::vector<AccountKeys> accounts;
  /// The operator's own text of this table, returned when it is read.
  std::string document;

  /// @return Nothing, or `kSettingsInvalid` naming what is wrong: a route to an
  /// unknown service, two routes with one host and prefix, a route whose
  /// weights sum to zero or whose timeout is zero, a prefix without its
  /// slashes, or a key of two accounts.
  Expected<void> Validate() const;

  friend bool operator==(const RoutingTable&, const RoutingTable&) = default;
  MSGPACK_DEFINE(version,
                 routes,
                 services,
                 limits,
                 requires_keys,
                 accounts,
                 document)
};

/// A table as readers hold it.
struct SharedRoutingTable : RefCounted<SharedRoutingTable> {
  explicit SharedRoutingTable(RoutingTable value) : table(std::move(value)) {}
  const RoutingTable table;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_TABLE_H_
