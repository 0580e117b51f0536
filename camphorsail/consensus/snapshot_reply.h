#ifndef CAMPHORSAIL_CONSENSUS_SNAPSHOT_REPLY_H_
#define CAMPHORSAIL_CONSENSUS_SNAPSHOT_REPLY_H_

#include <cstdint>

#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

/// Reply to a `SnapshotChunk`.
struct SnapshotReply {
  /// `SnapshotChunk::last` of the snapshot.
  LogPosition last;
  /// Number of bytes received so far without a gap.
  uint64_t next_offset = 0;
  /// True once the snapshot is synced.
  bool installed = false;
  /// Latest heartbeat round that the follower received.
  uint64_t round = 0;

  MSGPACK_DEFINE(last, next_offset, installed, round)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_SNAPSHOT_REPLY_H_
