#ifndef CAMPHORSAIL_MEMBERSHIP_SERVER_SUBSET_H_
#define CAMPHORSAIL_MEMBERSHIP_SERVER_SUBSET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Score of one candidate in weighted rendezvous hashing. The candidate with
/// the highest score is chosen; over many choosers, each candidate is chosen in
/// proportion to its weight.
/// @param chooser Id of the VM or server that chooses.
/// @param candidate Id of the candidate.
/// @param weight Weight of the candidate, above 0.
double RendezvousScore(std::string_view chooser,
                       std::string_view candidate,
                       double weight);

/// A server from which a daemon chooses.
struct ServerCandidate {
  BackendServerId server;
  FailureDomainId failure_domain;
  /// Weight of the server, usually its capacity; above 0.
  double weight = 1;
};

/// Chooses the backend servers that one daemon uses, so that the daemon's
/// connections and memory do not grow with the fleet. Weighted rendezvous
/// hashing spreads the load over the servers. When a server is lost, only that
/// server is replaced in the subset. Immutable.
class ServerSubset {
 public:
  /// @param daemon VM of the daemon that chooses.
  /// @param size Number of servers to choose, at least 1.
  ServerSubset(VmId daemon, size_t size);

  /// @param candidates Servers of one target.
  /// @return The chosen servers, in order of their ids; all candidates when
  /// there are at most `size` of them. When `size` is at least 2 and the
  /// candidates are in several failure domains, the chosen servers are in at
  /// least two.
  std::vector<BackendServerId> Choose(
      std::span<const ServerCandidate> candidates) const;

 private:
  VmId daemon_;
  size_t size_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_SERVER_SUBSET_H_
