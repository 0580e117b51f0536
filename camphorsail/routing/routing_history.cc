#include "camphorsail/routing/routing_history.h"

#include <algorithm>
#include <utility>

namespace camphorsail {

void RoutingHistory::OnTable(const Ref<SharedRoutingTable>& table) {
  if (table->table.version <= version()) {
    return;
  }
  if (table_) {
    RoutingTableDelta delta =
        RoutingTableDelta::Between(table_->table, table->table);
    entries_ += delta.EntryCount();
    deltas_.push_back(std::move(delta));
    while (entries_ > kMaxEntries) {
      entries_ -= deltas_.front().EntryCount();
      deltas_.pop_front();
    }
  }
  table_ = table;
}

RoutingTable RoutingHistory::TableForGateway() const {
  RoutingTable copy;
  if (table_) {
    const RoutingTable& table = table_->table;
    copy.version = table.version;
    copy.routes = table.routes;
    copy.services = table.services;
    copy.limits = table.limits;
    copy.requires_api_keys = table.requires_api_keys;
    copy.accounts = table.accounts;
  }
  return copy;
}

std::optional<std::vector<RoutingTableDelta>> RoutingHistory::DeltasSince(
    uint64_t version) const {
  const auto first = std::find_if(deltas_.begin(), deltas_.end(),
                                  [&](const RoutingTableDelta& delta) {
                                    return delta.base_version == version;
                                  });
  if (first == deltas_.end()) {
    return std::nullopt;
  }
  return std::vector<RoutingTableDelta>(first, deltas_.end());
}

}  // namespace camphorsail
