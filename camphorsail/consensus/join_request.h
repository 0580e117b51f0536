#ifndef CAMPHORSAIL_CONSENSUS_JOIN_REQUEST_H_
#define CAMPHORSAIL_CONSENSUS_JOIN_REQUEST_H_

#include <cstdint>

#include "camphorsail/consensus/member.h"

namespace camphorsail {

/// Sent to other VMs by a replica that has no leader, when it is not a voter or
/// when the group may have replaced it. Also used to bootstrap the group.
struct JoinRequest {
  /// Random number that identifies the start of the sender.
  uint64_t session = 0;
  Member member;

  MSGPACK_DEFINE(session, member)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_JOIN_REQUEST_H_
