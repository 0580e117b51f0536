#include "camphorsail/routing/routing_table.h"

#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/base/header_text.h"

namespace camphorsail {
namespace {

Expected<void> ValidateRoute(const Route& route,
                             const std::set<ModelId>& services) {
  const auto fail = [&](const auto&... what) {
    return Fail(ErrorKind::kSettingsInvalid,
                absl::StrCat("route '", route.name, "': ", what...));
  };
  if (!route.path_prefix.starts_with('/') ||
      !route.path_prefix.ends_with('/')) {
    return fail("the path prefix must begin and end with a slash, but is '",
                route.path_prefix, "'");
  }
  if (route.timeout_ms <= 0) {
    return fail("the timeout must be above 0 ms, but is ", route.timeout_ms,
                " ms");
  }
  double sum = 0;
  for (const RouteTarget& target : route.targets) {
    if (!services.contains(target.service)) {
      return fail("unknown service '", target.service.value(), "'");
    }
    if (target.weight < 0) {
      return fail("the weight of service '", target.service.value(),
                  "' must not be negative, but is ", target.weight);
    }
    sum += target.weight;
  }
  if (sum <= 0) {
    return fail("the weights of the targets must sum to more than 0");
  }
  return {};
}

}  // namespace

Expected<void> RoutingTable::Validate() const {
  std::set<ModelId> service_names;
  for (const ServiceProfile& service : services) {
    if (!service_names.insert(service.name).second) {
      return Fail(
          ErrorKind::kSettingsInvalid,
          absl::StrCat("service '", service.name.value(), "' appears twice"));
    }
  }
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : routes) {
    if (Expected<void> valid = ValidateRoute(route, service_names); !valid) {
      return valid;
    }
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      return Fail(ErrorKind::kSettingsInvalid,
                  absl::StrCat("two routes have host '", route.host,
                               "' and prefix '", route.path_prefix, "'"));
    }
  }
  std::map<std::string, ClientAccountId> key_owners;
  for (const AccountKeys& account : accounts) {
    // The id is written into the head of each request of the account.
    if (!IsHeaderText(account.account.value())) {
      return Fail(ErrorKind::kSettingsInvalid,
                  absl::StrCat("the name of an account must have 1 to ",
                               kMaxHeaderTextBytes,
                               " bytes, no control characters, and no space at "
                               "its ends, but is '",
                               absl::CEscape(account.account.value()), "'"));
    }
    if (!(account.weight > 0) || !std::isfinite(account.weight)) {
      return Fail(
          ErrorKind::kSettingsInvalid,
          absl::StrCat("the weight of account '", account.account.value(),
                       "' must be a positive number, but is ", account.weight));
    }
    for (const std::string& key : account.api_keys) {
      const auto [owner, inserted] = key_owners.emplace(key, account.account);
      if (!inserted && owner->second != account.account) {
        return Fail(
            ErrorKind::kSettingsInvalid,
            absl::StrCat("accounts '", owner->second.value(), "' and '",
                         account.account.value(), "' share an API key"));
      }
    }
  }
  return {};
}

}  // namespace camphorsail
