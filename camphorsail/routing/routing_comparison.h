#ifndef CAMPHORSAIL_ROUTING_ROUTING_COMPARISON_H_
#define CAMPHORSAIL_ROUTING_ROUTING_COMPARISON_H_

#include <string>
#include <vector>

#include "camphorsail/routing/routing_table.h"

namespace camphorsail {

/// @return What a new table changes, one line for each entry that is added or
/// removed and for each value that differs; empty when nothing does. API keys
/// are not printed.
std::vector<std::string> CompareRoutingTables(const RoutingTable& before,
                                              const RoutingTable& after);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_COMPARISON_H_
