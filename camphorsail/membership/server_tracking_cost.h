#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_TRACKING_COST_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_TRACKING_COST_H_

#include <cstddef>

namespace camphorsail {

/// Network and processor cost of tracking the backend servers, from a
/// simulation. Byte counts
/// cover the encoded messages and their HTTP/2 frame headers.
struct ServerTrackingCost {
  /// Number of daemons on entry VMs.
  int daemons = 0;
  /// Number of backend servers.
  int servers = 0;
  /// Number of VMs whose only role is to relay; 0 when the daemons form a full
  /// mesh.
  int relays = 0;
  /// Traffic with other daemons and relays, sent and received, in bytes per
  /// second and daemon: the mean and the maximum over the daemons.
  double bytes_per_s = 0;
  double max_bytes_per_s = 0;
  /// Messages sent and received, per second and daemon.
  double messages_per_s = 0;
  /// Announcements received from servers, in bytes per second and daemon.
  double announcement_bytes_per_s = 0;
  /// Mean processor time of one daemon, as a fraction of one core.
  double cpu_ratio = 0;
  /// Mean traffic of one relay, sent and received, in bytes per second.
  double relay_bytes_per_s = 0;
  /// Mean processor time of one relay, as a fraction of one core.
  double relay_cpu_ratio = 0;
  /// Number of servers in the largest view of a daemon at the end of the run.
  size_t known_servers = 0;
  /// Largest number of servers that a daemon chose to use.
  size_t used_servers = 0;
};

/// Simulates the server registries of a fleet in virtual time. Messages are
/// encoded and decoded as in production, and processor time is measured with
/// the clock of the calling thread. Decision code must not call this function,
/// because decisions must not depend on that clock.
/// @param daemons Number of entry VMs. Up to 16 form a full mesh; a larger
/// number is divided over two regions, each with relays.
/// @param servers Number of backend servers; each announces once a second.
ServerTrackingCost SimulateServerTracking(int daemons, int servers);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_TRACKING_COST_H_
