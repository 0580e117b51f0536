#ifndef CAMPHORSAIL_MEMBERSHIP_RELAY_PLAN_H_
#define CAMPHORSAIL_MEMBERSHIP_RELAY_PLAN_H_

#include <map>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/membership/vm_registration.h"

namespace camphorsail {

/// Assigns servers and daemons to the VMs that relay server announcements in
/// each region. All daemons derive the same plan from the replicated VM
/// directory. In a region without relays, servers announce to entry VMs, each
/// of which forwards the announcements to all its peers. Immutable.
class RelayPlan {
 public:
  /// Number of relays assigned to each server and to each daemon. All of them
  /// are in use all the time, so that the loss of one relay causes no delay.
  static constexpr size_t kRelaysPerNode = 2;

  /// @param vms All active VMs.
  explicit RelayPlan(const std::vector<VmRegistration>& vms);

  /// @return True when the region has at least one relay.
  bool HasRelays(const std::string& region) const;

  /// @return The VMs to which the server announces, in order of preference:
  /// relays of the region, or its entry VMs when it has no relays.
  std::vector<VmId> ReceiversForServer(const BackendServerId& server,
                                       const std::string& region) const;
  /// @return The relays that send changes to the daemon, in order of
  /// preference; empty when the region has no relays.
  std::vector<VmId> RelaysForDaemon(const VmId& daemon,
                                    const std::string& region) const;
  /// @return All relays of a region, in order of their ids.
  const std::vector<VmId>& Relays(const std::string& region) const;

 private:
  /// A VM that can be chosen.
  struct Candidate {
    VmId vm;
    FailureDomainId failure_domain;
  };
  struct Region {
    /// In order of their ids.
    std::vector<VmId> relays;
    std::vector<Candidate> relay_candidates;
    std::vector<Candidate> entry_candidates;
  };

  /// Chooses candidates by rendezvous hashing.
  /// @param node Id of the server or daemon for which VMs are chosen.
  /// @return Up to `kRelaysPerNode` VMs, in two failure domains when the
  /// candidates are in at least two.
  static std::vector<VmId> Choose(const std::string& node,
                                  const std::vector<Candidate>& candidates);

  std::map<std::string, Region> regions_;
};

/// Message sizes and rates that determine the traffic from relays to a daemon.
struct RelayCostParameters {
  /// Heartbeats that each relay sends to a daemon, per second.
  double heartbeats_per_s = 1;
  /// Size of an encoded heartbeat with and without a summary, in bytes
  /// including the frame header.
  double summary_heartbeat_bytes = 700;
  double plain_heartbeat_bytes = 40;
  /// Number of servers in the daemon's region, and number of changes of each
  /// server per second. A restart causes two changes; the default is one
  /// restart a day.
  double servers = 750;
  double changes_per_server_per_s = 2.0 / 86400;
  /// Size of an encoded change, in bytes including the frame header.
  double change_bytes = 180;
  /// Starts of the daemon per second. After each start, every relay of the
  /// daemon sends its whole view. The default is 480 starts a day in a fleet of
  /// 410 daemons.
  double daemon_starts_per_s = 480.0 / 410 / 86400;
};

/// @return Bytes per second that a daemon receives from its relays together.
double RelayBytesPerDaemon(const RelayCostParameters& parameters);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_RELAY_PLAN_H_
