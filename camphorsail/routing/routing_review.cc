#include "camphorsail/routing/routing_review.h"

#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

/// Collects the findings of one table.
class Review {
 public:
  explicit Review(const RoutingTable& table) : table_(table) {}

  std::vector<RoutingFinding> Run() {
    for (const Route& route : table_.routes) {
      ReviewMatch(route);
      ReviewLimits(route);
    }
    for (const ServiceProfile& service : table_.services) {
      ReviewService(service);
    }
    ReviewAccounts();
    return std::move(findings_);
  }

 private:
  template <typename... Parts>
  void Add(const std::string& place, const Parts&... message) {
    findings_.push_back({place, absl::StrCat(message...)});
  }

  static std::string PlaceOf(const Route& route) {
    return absl::StrCat("route '", route.name, "'");
  }

  void ReviewMatch(const Route& route) {
    // Hosts are compared without case and without their port.
    if (route.host.find(':') != std::string::npos) {
      Add(PlaceOf(route), "never matches: the port in host '", route.host,
          "' is not compared");
    }
    if (!seen_.emplace(absl::AsciiStrToLower(route.host), route.path_prefix)
             .second) {
      Add(PlaceOf(route),
          "never matches: an earlier route has the same prefix and a host that "
          "differs in case only");
    }
    for (const RouteTarget& target : route.targets) {
      if (target.weight > 0) {
        used_services_.insert(target.service);
      } else {
        Add(PlaceOf(route), "service '", target.service.value(),
            "' gets no requests: its weight is 0");
      }
    }
  }

  void ReviewLimits(const Route& route) {
    if (route.max_attempts > kMaxAttempts) {
      Add(PlaceOf(route), route.max_attempts,
          " attempts are never made: a gateway starts at most ", kMaxAttempts);
    }
    if (route.max_attempts > 1 && !route.MayRunAgain()) {
      Add(PlaceOf(route), route.max_attempts,
          " attempts are never made: requests of this kind do not run again");
    }
    if (route.objective_ms > route.timeout_ms) {
      Add(PlaceOf(route), "the latency objective of ", route.objective_ms,
          " ms is above the time limit of ", route.timeout_ms, " ms");
    }
    if (route.max_event_gap_ms > route.timeout_ms) {
      Add(PlaceOf(route), "the longest pause of ", route.max_event_gap_ms,
          " ms is above the time limit of ", route.timeout_ms, " ms");
    }
  }

  void ReviewService(const ServiceProfile& service) {
    const std::string place =
        absl::StrCat("service '", service.name.value(), "'");
    if (!used_services_.contains(service.name)) {
      Add(place, "is not reachable: no route sends requests to it");
    }
    const ScalingProfile& scaling = service.scaling;
    if (scaling.min_servers > scaling.max_servers) {
      Add(place, "the minimum of ", scaling.min_servers,
          " servers is above the maximum of ", scaling.max_servers);
    }
  }

  void ReviewAccounts() {
    for (const AccountKeys& account : table_.accounts) {
      if (account.api_keys.empty()) {
        Add(absl::StrCat("account '", account.account.value(), "'"),
            "cannot send requests: it has no API key");
      }
    }
  }

  const RoutingTable& table_;
  std::vector<RoutingFinding> findings_;
  std::set<std::pair<std::string, std::string>> seen_;
  std::set<ModelId> used_services_;
};

}  // namespace

std::vector<RoutingFinding> ReviewRoutingTable(const RoutingTable& table) {
  return Review(table).Run();
}

}  // namespace camphorsail
