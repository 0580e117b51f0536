#ifndef CAMPHORSAIL_ROUTING_ROUTING_HISTORY_H_
#define CAMPHORSAIL_ROUTING_ROUTING_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "camphorsail/base/ref.h"
#include "camphorsail/routing/routing_table.h"
#include "camphorsail/routing/routing_table_delta.h"

namespace camphorsail {

/// The current routing table of a replica and the deltas by which it was
/// reached, from which gateways with an older table are brought up to date. The
/// number of entries in the deltas is bounded; a gateway whose table is older
/// than all of them gets the whole table. Not thread-safe.
class RoutingHistory {
 public:
  /// Takes a new table. Has no effect when it is not newer than the current
  /// one.
  void OnTable(const Ref<SharedRoutingTable>& table);

  /// @return Version of the current table; 0 when there is none.
  uint64_t version() const { return table_ ? table_->table.version : 0; }
  /// @return The current table without its document.
  RoutingTable TableForGateway() const;
  /// @return The deltas that lead from the version to the current table, in
  /// their order; nothing when a delta is missing.
  std::optional<std::vector<RoutingTableDelta>> DeltasSince(
      uint64_t version) const;

 private:
  /// Entries in all deltas together. Larger histories would take more memory
  /// than the tables that they replace.
  static constexpr size_t kMaxEntries = 20'000;

  Ref<SharedRoutingTable> table_;
  std::deque<RoutingTableDelta> deltas_;
  size_t entries_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ROUTING_ROUTING_HISTORY_H_
