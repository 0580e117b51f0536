#include "camphorsail/routing/routing_table_delta.h"

#include <map>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {
namespace {

RoutingTableDelta::RouteKey KeyOf(const Route& route) {
  return {route.host, route.path_prefix};
}
const ModelId& KeyOf(const ServiceProfile& service) {
  return service.name;
}
const ClientAccountId& KeyOf(const AccountKeys& account) {
  return account.account;
}

/// Collects what has to be removed from `base` and what has to be added to it
/// to get `items`.
template <typename Item, typename Key>
void Compare(const std::vector<Item>& base,
             const std::vector<Item>& items,
             std::vector<Key>* removed,
             std::vector<Item>* changed) {
  std::map<Key, const Item*> old;
  for (const Item& item : base) {
    old[KeyOf(item)] = &item;
  }
  for (const Item& item : items) {
    const auto found = old.find(KeyOf(item));
    if (found == old.end()) {
      changed->push_back(item);
      continue;
    }
    if (!(*found->second == item)) {
      changed->push_back(item);
    }
    old.erase(found);
  }
  for (const auto& [key, item] : old) {
    removed->push_back(key);
  }
}

/// Reverses `Compare`.
template <typename Item, typename Key>
std::vector<Item> Merge(const std::vector<Item>& base,
                        const std::vector<Key>& removed,
                        const std::vector<Item>& changed) {
  std::map<Key, const Item*> replaced;
  for (const Key& key : removed) {
    replaced[key] = nullptr;
  }
  for (const Item& item : changed) {
    replaced[KeyOf(item)] = &item;
  }
  std::vector<Item> items;
  items.reserve(base.size() + changed.size());
  for (const Item& item : base) {
    const auto found = replaced.find(KeyOf(item));
    if (found == replaced.end()) {
      items.push_back(item);
    }
  }
  items.insert(items.end(), changed.begin(), changed.end());
  return items;
}

template <typename Item>
uint64_t SumOfHashes(const std::vector<Item>& items) {
  uint64_t sum = 0;
  for (const Item& item : items) {
    sum += MixBits(Fnv1a64(PackBytes(item)));
  }
  return sum;
}

}  // namespace

RoutingTableDelta RoutingTableDelta::Between(const RoutingTable& base,
                                             const RoutingTable& table) {
  RoutingTableDelta delta;
  delta.base_version = base.version;
  delta.version = table.version;
  Compare(base.routes, table.routes, &delta.removed_routes, &delta.routes);
  Compare(base.services, table.services, &delta.removed_services,
          &delta.services);
  Compare(base.accounts, table.accounts, &delta.removed_accounts,
          &delta.accounts);
  delta.limits = table.limits;
  delta.requires_api_keys = table.requires_api_keys;
  delta.digest = DigestOf(table);
  return delta;
}

uint64_t RoutingTableDelta::DigestOf(const RoutingTable& table) {
  const std::vector<uint64_t> parts = {
      table.version, SumOfHashes(table.routes), SumOfHashes(table.services),
      SumOfHashes(table.accounts), table.requires_api_keys ? 1U : 0U};
  return Fnv1a64(PackBytes(table.limits), Fnv1a64(PackBytes(parts)));
}

Expected<RoutingTable> RoutingTableDelta::ApplyTo(
    const RoutingTable& base) const {
  if (base.version != base_version) {
    return Fail(ErrorKind::kProtocolError,
                "the delta is for another table version");
  }
  RoutingTable table;
  table.version = version;
  table.routes = Merge(base.routes, removed_routes, routes);
  table.services = Merge(base.services, removed_services, services);
  table.accounts = Merge(base.accounts, removed_accounts, accounts);
  table.limits = limits;
  table.requires_api_keys = requires_api_keys;
  if (DigestOf(table) != digest) {
    return Fail(ErrorKind::kProtocolError,
                "the digest of the table does not match");
  }
  return table;
}

size_t RoutingTableDelta::EntryCount() const {
  return removed_routes.size() + routes.size() + removed_services.size() +
         services.size() + removed_accounts.size() + accounts.size();
}

}  // namespace camphorsail
