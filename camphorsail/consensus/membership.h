#ifndef CAMPHORSAIL_CONSENSUS_MEMBERSHIP_H_
#define CAMPHORSAIL_CONSENSUS_MEMBERSHIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/member.h"

namespace camphorsail {

/// The members of the group at one point of the log.
struct Membership {
  std::vector<Member> members;
  /// True when this membership only removes a replica that has no unexpired
  /// grants: its VM has been running another replica for at least the lease
  /// length, or the group uses no admission leases. The quorum of the previous
  /// membership is not needed then: any lease quorum of it that can still grant
  /// a lease intersects every commit quorum of this membership.
  bool removed_grants_expired = false;

  /// @return The member with this id; null when there is none.
  const Member* Find(ReplicaId replica) const;
  /// @return True when `replica` is a voter.
  bool IsVoter(ReplicaId replica) const;
  /// @return The number of voters, N.
  size_t VoterCount() const;
  /// @return W = floor(N/2)+1, the number of voters needed to elect a leader
  ///     and to commit an entry.
  size_t CommitQuorum() const;
  /// @return R = N-W+1, the number of voters whose grants are needed for a
  ///     lease. Every lease quorum intersects every commit quorum.
  size_t LeaseQuorum() const;

  /// @return The MessagePack form, as stored in membership entries.
  std::string Encode() const;
  /// @return The membership, or `kProtocolError` when `bytes` are malformed.
  static Expected<Membership> Decode(std::string_view bytes);

  friend bool operator==(const Membership&, const Membership&) = default;

  MSGPACK_DEFINE(members, removed_grants_expired)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_MEMBERSHIP_H_
