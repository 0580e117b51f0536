#include "camphorsail/routing/routing_comparison.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace camphorsail {
namespace {

/// The values of an entry, by name.
using Values = std::map<std::string, std::string>;
/// Entries by what identifies them for a reader.
using Entries = std::map<std::string, Values>;

std::string YesOrNo(bool value) {
  return value ? "yes" : "no";
}

std::string KindName(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "may run again";
    case RouteKind::kNonIdempotent:
      return "runs once";
    case RouteKind::kStream:
      return "stream";
  }
  return "unknown";
}

Values Describe(const Route& route) {
  std::vector<std::string> targets;
  for (const RouteTarget& target : route.targets) {
    targets.push_back(
        absl::StrCat(target.service.value(), " (", target.weight, ")"));
  }
  return {{"name", route.name},
          {"kind", KindName(route.kind)},
          {"services (weights)", absl::StrJoin(targets, ", ")},
          {"priority", absl::StrCat(route.rank)},
          {"attempts", absl::StrCat(route.max_attempts)},
          {"time limit", absl::StrCat(route.timeout_ms, " ms")},
          {"latency objective", absl::StrCat(route.objective_ms, " ms")},
          {"longest pause", absl::StrCat(route.max_event_gap_ms, " ms")},
          {"public", YesOrNo(route.is_public)},
          {"names prompt parts", YesOrNo(route.names_prompt_parts)},
          {"resumable", YesOrNo(route.resumable)}};
}

Values Describe(const ServiceProfile& service) {
  std::vector<std::string> prices;
  for (const FailureDomainPrice& price : service.scaling.prices) {
    prices.push_back(
        absl::StrCat(price.failure_domain.value(), " ", price.price));
  }
  const ScalingProfile& scaling = service.scaling;
  return {
      {"health path", service.health_path},
      {"connections per server", absl::StrCat(service.max_connections)},
      {"engine", YesOrNo(service.is_engine)},
      {"slots", absl::StrCat(service.slots)},
      {"KV capacity", absl::StrCat(service.kv_capacity_tokens, " tokens")},
      {"tokens per event", absl::StrCat(service.tokens_per_event)},
      {"scaling", YesOrNo(scaling.enabled)},
      {"least servers", absl::StrCat(scaling.min_servers)},
      {"most servers", absl::StrCat(scaling.max_servers)},
      {"boot time", absl::StrCat(scaling.boot_time_ms, " ms")},
      {"price of reclaimable servers", absl::StrCat(scaling.reclaimable_price)},
      {"prices", absl::StrJoin(prices, ", ")}};
}

Entries RoutesOf(const RoutingTable& table) {
  Entries entries;
  for (const Route& route : table.routes) {
    entries[absl::StrCat("route ", route.host, route.path_prefix)] =
        Describe(route);
  }
  return entries;
}

Entries ServicesOf(const RoutingTable& table) {
  Entries entries;
  for (const ServiceProfile& service : table.services) {
    entries[absl::StrCat("service ", service.name.value())] = Describe(service);
  }
  return entries;
}

Entries GeneralOf(const RoutingTable& table) {
  const CallerLimits& limits = table.limits;
  return {
      {"document",
       {{"version", absl::StrCat(table.version)},
        {"requires API keys", YesOrNo(table.requires_api_keys)}}},
      {"limits",
       {{"header", absl::StrCat(limits.max_header_bytes, " bytes")},
        {"body", absl::StrCat(limits.max_body_bytes, " bytes")},
        {"time for the header", absl::StrCat(limits.header_timeout_ms, " ms")},
        {"idle time", absl::StrCat(limits.idle_timeout_ms, " ms")}}}};
}

Entries AccountsOf(const RoutingTable& table) {
  Entries entries;
  for (const AccountKeys& account : table.accounts) {
    entries[absl::StrCat("account ", account.account.value())] = {
        {"priority",
         account.rank.has_value() ? absl::StrCat(*account.rank) : "none"}};
  }
  return entries;
}

void CompareEntries(const Entries& before,
                    const Entries& after,
                    std::vector<std::string>* lines) {
  for (const auto& [place, values] : before) {
    if (!after.contains(place)) {
      lines->push_back(absl::StrCat(place, ": removed"));
    }
  }
  for (const auto& [place, values] : after) {
    const auto old = before.find(place);
    if (old == before.end()) {
      lines->push_back(absl::StrCat(place, ": added"));
      continue;
    }
    for (const auto& [name, value] : values) {
      const std::string& old_value = old->second.at(name);
      if (value != old_value) {
        lines->push_back(
            absl::StrCat(place, ": ", name, ": ", old_value, " -> ", value));
      }
    }
  }
}

/// Counts the keys of each account that are added and removed.
void CompareKeys(const RoutingTable& before,
                 const RoutingTable& after,
                 std::vector<std::string>* lines) {
  std::map<ClientAccountId, std::set<std::string>> old_keys;
  for (const AccountKeys& account : before.accounts) {
    old_keys[account.account].insert(account.api_keys.begin(),
                                     account.api_keys.end());
  }
  for (const AccountKeys& account : after.accounts) {
    const auto old = old_keys.find(account.account);
    if (old == old_keys.end()) {
      continue;
    }
    const std::set<std::string> keys(account.api_keys.begin(),
                                     account.api_keys.end());
    const auto kept = std::count_if(
        keys.begin(), keys.end(),
        [&](const std::string& key) { return old->second.contains(key); });
    const size_t added = keys.size() - static_cast<size_t>(kept);
    const size_t removed = old->second.size() - static_cast<size_t>(kept);
    if (added + removed > 0) {
      lines->push_back(absl::StrCat("account ", account.account.value(),
                                    ": API keys: ", added, " added, ", removed,
                                    " removed"));
    }
  }
}

}  // namespace

std::vector<std::string> CompareRoutingTables(const RoutingTable& before,
                                              const RoutingTable& after) {
  std::vector<std::string> lines;
  CompareEntries(GeneralOf(before), GeneralOf(after), &lines);
  CompareEntries(RoutesOf(before), RoutesOf(after), &lines);
  CompareEntries(ServicesOf(before), ServicesOf(after), &lines);
  CompareEntries(AccountsOf(before), AccountsOf(after), &lines);
  CompareKeys(before, after, &lines);
  return lines;
}

}  // namespace camphorsail
