#include "camphorsail/membership/relay_plan.h"

#include <algorithm>
#include <utility>

#include "camphorsail/membership/server_subset.h"

namespace camphorsail {

RelayPlan::RelayPlan(const std::vector<VmRegistration>& vms) {
  for (const VmRegistration& vm : vms) {
    Region& region = regions_[vm.region];
    if (vm.relay) {
      region.relays.push_back(vm.vm);
      region.relay_candidates.push_back({vm.vm, vm.failure_domain});
    }
    if (vm.entry) {
      region.entry_candidates.push_back({vm.vm, vm.failure_domain});
    }
  }
  for (auto& [name, region] : regions_) {
    std::sort(region.relays.begin(), region.relays.end());
  }
}

bool RelayPlan::HasRelays(const std::string& region) const {
  return !Relays(region).empty();
}

const std::vector<VmId>& RelayPlan::Relays(const std::string& region) const {
  static const std::vector<VmId> none;
  const auto it = regions_.find(region);
  return it == regions_.end() ? none : it->second.relays;
}

std::vector<VmId> RelayPlan::ReceiversForServer(
    const BackendServerId& server,
    const std::string& region) const {
  const auto it = regions_.find(region);
  if (it == regions_.end()) {
    return {};
  }
  return Choose(server.value(), it->second.relay_candidates.empty()
                                    ? it->second.entry_candidates
                                    : it->second.relay_candidates);
}

std::vector<VmId> RelayPlan::RelaysForDaemon(const VmId& daemon,
                                             const std::string& region) const {
  const auto it = regions_.find(region);
  return it == regions_.end()
             ? std::vector<VmId>()
             : Choose(daemon.value(), it->second.relay_candidates);
}

std::vector<VmId> RelayPlan::Choose(const std::string& node,
                                    const std::vector<Candidate>& candidates) {
  std::vector<std::pair<double, const Candidate*>> ranked;
  ranked.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    ranked.emplace_back(RendezvousScore(node, candidate.vm.value(), 1),
                        &candidate);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->vm < b.second->vm;
  });
  std::vector<VmId> chosen;
  if (ranked.empty()) {
    return chosen;
  }
  const Candidate& first = *ranked[0].second;
  chosen.push_back(first.vm);
  // The two relays should not share a failure domain, so that the loss of one
  // domain leaves one of them running.
  auto second =
      std::find_if(ranked.begin() + 1, ranked.end(), [&](const auto& entry) {
        return entry.second->failure_domain != first.failure_domain;
      });
  if (second == ranked.end()) {
    second = ranked.begin() + 1;
  }
  if (second != ranked.end()) {
    chosen.push_back(second->second->vm);
  }
  return chosen;
}

double RelayBytesPerDaemon(const RelayCostParameters& parameters) {
  const double relays = RelayPlan::kRelaysPerNode;
  const double heartbeats = parameters.heartbeats_per_s *
                            (parameters.summary_heartbeat_bytes +
                             (relays - 1) * parameters.plain_heartbeat_bytes);
  const double changes = relays * parameters.servers *
                         parameters.changes_per_server_per_s *
                         parameters.change_bytes;
  const double whole_views = relays * parameters.daemon_starts_per_s *
                             parameters.servers * parameters.change_bytes;
  return heartbeats + changes + whole_views;
}

}  // namespace camphorsail
