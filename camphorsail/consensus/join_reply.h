#ifndef CAMPHORSAIL_CONSENSUS_JOIN_REPLY_H_
#define CAMPHORSAIL_CONSENSUS_JOIN_REPLY_H_

#include <cstdint>

#include "camphorsail/consensus/member.h"

namespace camphorsail {

/// Reply to a `JoinRequest`.
struct JoinReply {
  /// `JoinRequest::session` of the request.
  uint64_t session = 0;
  /// False when the sender's log is empty, so that it may take part in a
  /// bootstrap of the group.
  bool has_log = false;
  Member member;
  /// VM of the leader; empty when unknown.
  VmId leader_vm;

  MSGPACK_DEFINE(session, has_log, member, leader_vm)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_JOIN_REPLY_H_
