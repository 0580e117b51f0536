#ifndef CAMPHORSAIL_CONSENSUS_SNAPSHOT_CHUNK_H_
#define CAMPHORSAIL_CONSENSUS_SNAPSHOT_CHUNK_H_

#include <cstdint>
#include <string>

#include "camphorsail/consensus/log_position.h"
#include "camphorsail/consensus/membership.h"

namespace camphorsail {

/// A part of the leader's snapshot, sent to a follower whose next entry is
/// already compacted on the leader.
struct SnapshotChunk {
  /// Position of the last entry that the snapshot contains.
  LogPosition last;
  Membership membership;
  /// Position of `data` in the snapshot's data, in bytes.
  uint64_t offset = 0;
  /// Size of the snapshot's data, in bytes.
  uint64_t total_size = 0;
  std::string data;
  /// Heartbeat round of the leader, returned in the reply.
  uint64_t round = 0;

  MSGPACK_DEFINE(last, membership, offset, total_size, data, round)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_SNAPSHOT_CHUNK_H_
