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

/// The complete routing configuration of the gateways. An update replaces the
/// whole table. Operators assign the version numbers, and the table with the
/// highest version is in force. Replicated by the control path; immutable once
/// published. Not to be confused with `RouteTable`, which maps the paths of one
/// HTTP listener of the daemon to their handlers.
struct RoutingTable {
  /// Version assigned by the operators; 0 before the first table was accepted.
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceProfile> services;
  CallerLimits limits;
  /// True when requests on routes that are not public must carry an API key.
  bool requires_api_keys = false;
  std::vector<AccountKeys> accounts;
  /// The document from which the operators' table was parsed. It is returned
  /// unchanged when an operator reads the table.
  std::string document;

  /// Checks the table for errors that would make requests unroutable.
  /// @return Nothing when the table is valid. Otherwise `kSettingsInvalid` with
  /// a message that names the first error: a service that is listed twice, a
  /// route to an unknown service, two routes with the same host and path
  /// prefix, a path prefix that does not begin and end with a slash, a timeout
  /// that is not positive, a negative weight, weights whose sum is 0, an
  /// account whose weight is not positive, or an API key that two accounts
  /// share.
  Expected<void> Validate() const;

  friend bool operator==(const RoutingTable&, const RoutingTable&) = default;
  MSGPACK_DEFINE(version,
                 routes,
                 services,
                 limits,
                 requires_api_keys,
                 accounts,
                 document)
};

/// An immutable routing table with a reference count, shared by its readers.
struct SharedRoutingTable : RefCounted<SharedRoutingTable> {
  explicit SharedRoutingTable(RoutingTable value) : table(std::move(value)) {}
  const RoutingTable table;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_TABLE_H_
