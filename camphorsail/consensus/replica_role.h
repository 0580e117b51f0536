#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_ROLE_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_ROLE_H_

#include <cstdint>

namespace camphorsail {

/// Role of a replica in the current term.
enum class ReplicaRole : uint8_t {
  /// Follows a leader or waits for one. Learners always have this role.
  kFollower,
  /// Runs a pre-vote: asks the voters whether they would vote for it.
  kPreCandidate,
  kCandidate,
  kLeader,
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_ROLE_H_
