#ifndef CAMPHORSAIL_CONSENSUS_LEASE_REQUEST_H_
#define CAMPHORSAIL_CONSENSUS_LEASE_REQUEST_H_

#include <cstdint>

#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

/// Requests an admission lease from a voter. With `confirm_only` it only
/// reports the last position of the holder's log.
struct LeaseRequest {
  /// Random number that identifies the start of the holder, so that a
  /// confirmation from before a restart is not counted for the current start.
  /// Unrelated to the incarnation of the VM.
  uint64_t session = 0;
  /// Number of the request in its session. The holder finds the sending time by
  /// it.
  uint64_t sequence = 0;
  bool confirm_only = false;
  /// The holder has every committed entry up to this index.
  LogIndex committed;
  /// Last position of the holder's effective log.
  LogPosition last_position;

  MSGPACK_DEFINE(session, sequence, confirm_only, committed, last_position)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LEASE_REQUEST_H_
