#include "camphorsail/routing/route_index.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"

namespace camphorsail {
namespace {

/// @return The rank of the account; 0, the highest, when `account` is null or
/// has no rank.
int AccountRank(const AccountKeys* account) {
  return account == nullptr ? 0 : account->rank.value_or(0);
}

}  // namespace

RouteIndex::RouteIndex(Ref<SharedRoutingTable> table)
    : table_(std::move(table)) {
  for (const Route& route : table_->table.routes) {
    routes_[absl::AsciiStrToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const AccountKeys& account : table_->table.accounts) {
    for (const std::string& key : account.api_keys) {
      accounts_.emplace(key, &account);
    }
  }
  for (const ServiceProfile& service : table_->table.services) {
    services_.emplace(service.name, &service);
  }
  std::set<std::pair<int, int>> ranks;
  for (const Route& route : table_->table.routes) {
    ranks.emplace(AccountRank(nullptr), route.rank);
    for (const AccountKeys& account : table_->table.accounts) {
      ranks.emplace(AccountRank(&account), route.rank);
    }
  }
  ranks_.assign(ranks.begin(), ranks.end());
}

Urgency RouteIndex::UrgencyOf(const AccountKeys* account,
                              const Route& route) const {
  const auto found =
      std::lower_bound(ranks_.begin(), ranks_.end(),
                       std::make_pair(AccountRank(account), route.rank));
  const auto position = static_cast<int>(found - ranks_.begin());
  const int count = std::max(kUrgencyLevels, static_cast<int>(ranks_.size()));
  return Urgency(
      std::min(position * kUrgencyLevels / count, kUrgencyLevels - 1));
}

const Route* RouteIndex::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const auto found = routes_.find(
      absl::AsciiStrToLower(absl::string_view(name.data(), name.size())));
  if (found == routes_.end()) {
    return nullptr;
  }
  const std::string_view plain_path = path.substr(0, path.find('?'));
  for (const Route* route : found->second) {
    if (plain_path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const AccountKeys* RouteIndex::FindAccount(std::string_view api_key) const {
  const auto found =
      accounts_.find(absl::string_view(api_key.data(), api_key.size()));
  return found == accounts_.end() ? nullptr : found->second;
}

const ServiceProfile* RouteIndex::FindService(const ModelId& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace camphorsail
