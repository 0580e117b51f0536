#ifndef CAMPHORSAIL_CONSENSUS_LEASE_GRANT_H_
#define CAMPHORSAIL_CONSENSUS_LEASE_GRANT_H_

#include <cstdint>

#include "camphorsail/consensus/log_tail.h"

namespace camphorsail {

/// A voter's grant of an admission lease. Without `granted` the message only
/// carries the tail, so that the holder can confirm it.
struct LeaseGrant {
  /// `LeaseRequest::session` of the holder.
  uint64_t session = 0;
  /// `LeaseRequest::sequence` of the request that this message answers;
  /// 0 without `granted`.
  uint64_t sequence = 0;
  bool granted = false;
  /// The voter's entries after the holder's commit index that need confirmation
  /// by lease holders.
  LogTail tail;

  MSGPACK_DEFINE(session, sequence, granted, tail)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LEASE_GRANT_H_
