#ifndef CAMPHORSAIL_CONSENSUS_APPEND_REQUEST_H_
#define CAMPHORSAIL_CONSENSUS_APPEND_REQUEST_H_

#include <cstdint>
#include <vector>

#include "camphorsail/consensus/log_entry.h"

namespace camphorsail {

/// Entries from the leader; a heartbeat when there are none.
struct AppendRequest {
  /// Position of the entry before `entries`.
  LogPosition previous;
  std::vector<LogEntry> entries;
  /// Commit index of the leader.
  LogIndex leader_commit;
  /// Heartbeat round of the leader, returned in the reply. Confirms leadership
  /// for reads.
  uint64_t round = 0;

  MSGPACK_DEFINE(previous, entries, leader_commit, round)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_APPEND_REQUEST_H_
