#ifndef TESTS_UNIT_SCALING_FAKE_FLEET_H_
#define TESTS_UNIT_SCALING_FAKE_FLEET_H_

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/scaling/server_order.h"
#include "camphorsail/scaling/service_capacity.h"

namespace camphorsail {

/// The servers of one service at a provider: they take time to start, are
/// refused when there are none, and reclaimable ones leave a failure domain
/// together after a notice.
class FakeFleet {
 public:
  static constexpr absl::Duration kReclaimNotice = absl::Milliseconds(2500);

  /// @param regular Regular servers that run in each failure domain at the
  /// start.
  FakeFleet(ModelId service, ScalingProfile scaling, int regular)
      : service_(std::move(service)), scaling_(std::move(scaling)) {
    for (const FailureDomainPrice& price : scaling_.prices) {
      servers_[{service_, price.failure_domain, ServerTenure::kRegular}].resize(
          regular);
    }
  }

  ProviderOutcome OnOrder(const ServerOrder& order, MonoTime now) {
    std::vector<Server>& servers = servers_[order.subject];
    const int running = CountStaying(servers);
    if (order.count > running && now < dry_until_[order.subject]) {
      return ProviderOutcome::kConflict;
    }
    for (int i = running; i < order.count; ++i) {
      servers.push_back(
          {now + absl::Milliseconds(scaling_.boot_time_ms), {}, false});
    }
    for (int i = order.count; i < running; ++i) {
      // The youngest one that does not leave anyway.
      servers.erase(
          std::find_if(servers.rbegin(), servers.rend(),
                       [](const Server& server) { return !server.is_leaving; })
              .base() -
          1);
    }
    ordered_[order.subject] = order.count;
    return ProviderOutcome::kAccepted;
  }

  /// Sets when the regular servers of a failure domain start to serve.
  void SetStart(const FailureDomainId& domain, MonoTime at) {
    for (Server& server :
         servers_[{service_, domain, ServerTenure::kRegular}]) {
      server.ready_at = at;
    }
  }
  /// Reclaims all reclaimable servers of a failure domain.
  void Reclaim(const FailureDomainId& domain, MonoTime now) {
    for (Server& server :
         servers_[{service_, domain, ServerTenure::kReclaimable}]) {
      server.is_leaving = true;
      server.gone_at = now + kReclaimNotice;
    }
  }
  void SetDry(const ServerOrderSubject& subject, MonoTime until) {
    dry_until_[subject] = until;
  }
  /// Sets whether the holder of the duties sees the servers of a failure
  /// domain.
  void SetHidden(const FailureDomainId& domain, bool is_hidden) {
    hidden_[domain] = is_hidden;
  }
  /// Ends servers without a notice; the provider does not replace them until it
  /// is asked to.
  void Crash(const ServerOrderSubject& subject, int count) {
    std::vector<Server>& servers = servers_[subject];
    servers.resize(std::max<size_t>(servers.size(), count) - count);
  }

  int Present(const ServerOrderSubject& subject, MonoTime now) const {
    const auto found = servers_.find(subject);
    return found == servers_.end()
               ? 0
               : static_cast<int>(std::count_if(
                     found->second.begin(), found->second.end(),
                     [now](const Server& server) {
                       return !server.is_leaving && server.ready_at <= now;
                     }));
  }
  int Present(ServerTenure tenure, MonoTime now) const {
    int present = 0;
    for (const auto& [subject, servers] : servers_) {
      present += subject.tenure == tenure ? Present(subject, now) : 0;
    }
    return present;
  }
  int Present(MonoTime now) const {
    return Present(ServerTenure::kRegular, now) +
           Present(ServerTenure::kReclaimable, now);
  }

  /// @return What the holder of the duties sees of the service.
  ServiceCapacity Capacity(double demand, MonoTime now) const {
    ServiceCapacity capacity;
    capacity.service = service_;
    capacity.scaling = scaling_;
    for (const FailureDomainPrice& price : scaling_.prices) {
      DomainSupply& supply = capacity.domains[price.failure_domain];
      const ServerOrderSubject reclaimable{service_, price.failure_domain,
                                           ServerTenure::kReclaimable};
      supply.regular.present = Present(
          {service_, price.failure_domain, ServerTenure::kRegular}, now);
      supply.reclaimable.present = Present(reclaimable, now);
      if (const auto found = servers_.find(reclaimable);
          found != servers_.end()) {
        supply.reclaimable_leaving = static_cast<int>(
            std::count_if(found->second.begin(), found->second.end(),
                          [now](const Server& server) {
                            return server.is_leaving && now < server.gone_at;
                          }));
      }
    }
    for (const auto& [domain, is_hidden] : hidden_) {
      if (is_hidden) {
        capacity.domains[domain] = {};
      }
    }
    for (const auto& [subject, count] : ordered_) {
      capacity.domains[subject.failure_domain].Of(subject.tenure).ordered =
          count;
    }
    capacity.arriving_work = demand;
    capacity.occupied = std::min<double>(demand, Present(now));
    return capacity;
  }

  const ScalingProfile& scaling() const { return scaling_; }
  const std::map<ServerOrderSubject, int>& ordered() const { return ordered_; }

 private:
  struct Server {
    MonoTime ready_at;
    MonoTime gone_at;
    bool is_leaving = false;
  };

  static int CountStaying(const std::vector<Server>& servers) {
    return static_cast<int>(
        std::count_if(servers.begin(), servers.end(),
                      [](const Server& server) { return !server.is_leaving; }));
  }

  const ModelId service_;
  const ScalingProfile scaling_;
  std::map<ServerOrderSubject, std::vector<Server>> servers_;
  std::map<ServerOrderSubject, int> ordered_;
  std::map<ServerOrderSubject, MonoTime> dry_until_;
  std::map<FailureDomainId, bool> hidden_;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_SCALING_FAKE_FLEET_H_
