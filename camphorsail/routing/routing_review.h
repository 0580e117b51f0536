#ifndef CAMPHORSAIL_ROUTING_ROUTING_REVIEW_H_
#define CAMPHORSAIL_ROUTING_ROUTING_REVIEW_H_

#include <string>
#include <vector>

#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// An entry of a valid routing table that does not have the intended effect.
struct RoutingFinding {
  /// The entry, such as `route 'chat'`.
  std::string place;
  std::string message;
};

/// Finds entries that can never match or be used, and limits that contradict
/// each other.
/// @param table A valid table, see `RoutingTable::Validate`.
std::vector<RoutingFinding> ReviewRoutingTable(const RoutingTable& table);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_REVIEW_H_
