#ifndef CAMPHORSAIL_CONSENSUS_DURABLE_STATE_H_
#define CAMPHORSAIL_CONSENSUS_DURABLE_STATE_H_

#include <memory>
#include <vector>

#include "camphorsail/consensus/hard_state.h"
#include "camphorsail/consensus/log_entry.h"
#include "camphorsail/consensus/snapshot.h"

namespace camphorsail {

/// The state of a replica that storage recovers at start.
struct DurableState {
  ReplicaId replica;
  /// True when `replica` was generated at this start. Such a replica has never
  /// voted, acknowledged an entry or granted a lease.
  bool is_new = false;
  HardState hard_state;
  /// Null when there is none.
  std::shared_ptr<const Snapshot> snapshot;
  /// Entries up to this index are known to be committed.
  LogIndex committed;
  /// Consecutive entries. The index of the first is at most one after the
  /// snapshot's last index.
  std::vector<LogEntry> entries;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_DURABLE_STATE_H_
