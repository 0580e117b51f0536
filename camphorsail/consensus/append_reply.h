#ifndef CAMPHORSAIL_CONSENSUS_APPEND_REPLY_H_
#define CAMPHORSAIL_CONSENSUS_APPEND_REPLY_H_

#include <cstdint>

#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

/// Reply to an `AppendRequest`, sent after its entries are synced.
struct AppendReply {
  /// False when the follower's log has no entry at `AppendRequest::previous`.
  bool matched = false;
  /// With `matched`: the follower acknowledges the entries up to this index.
  /// The index stops before the first entry that a lease holder still has to
  /// confirm.
  LogIndex acknowledged;
  /// With `matched`: the entries up to this index are synced, so the leader
  /// only sends later ones. Not counted for commit.
  LogIndex stored;
  /// Without `matched`: the last index at which the logs may match.
  LogIndex hint;
  /// Latest heartbeat round that the follower received.
  uint64_t round = 0;

  MSGPACK_DEFINE(matched, acknowledged, stored, hint, round)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_APPEND_REPLY_H_
