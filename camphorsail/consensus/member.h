#ifndef CAMPHORSAIL_CONSENSUS_MEMBER_H_
#define CAMPHORSAIL_CONSENSUS_MEMBER_H_

#include <cstdint>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Role of a member in the group.
enum class MemberKind : uint8_t {
  /// Receives the log and does not count in any quorum.
  kLearner,
  kVoter,
};

/// One replica of the group.
struct Member {
  ReplicaId replica;
  /// VM that hosts the replica. A VM that lost its data returns with another
  /// `replica` id.
  VmId vm;
  FailureDomainId failure_domain;
  MemberKind kind = MemberKind::kLearner;

  friend bool operator==(const Member&, const Member&) = default;

  MSGPACK_DEFINE(replica, vm, failure_domain, kind)
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::MemberKind)

#endif  // CAMPHORSAIL_CONSENSUS_MEMBER_H_
