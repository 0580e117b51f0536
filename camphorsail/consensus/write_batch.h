#ifndef CAMPHORSAIL_CONSENSUS_WRITE_BATCH_H_
#define CAMPHORSAIL_CONSENSUS_WRITE_BATCH_H_

#include <memory>
#include <optional>
#include <vector>

#include "camphorsail/consensus/hard_state.h"
#include "camphorsail/consensus/log_entry.h"
#include "camphorsail/consensus/snapshot.h"

namespace camphorsail {

/// Changes that storage makes durable together, in the order of the members.
struct WriteBatch {
  std::optional<HardState> hard_state;
  /// Replaces older snapshots. When the log does not contain the snapshot's
  /// last entry, the whole log is discarded.
  std::shared_ptr<const Snapshot> snapshot;
  /// With a snapshot: entries before this index may be deleted.
  LogIndex first_kept;
  /// Commit index, stored with `entries`. The recovered commit index may be
  /// lower than the last known one.
  LogIndex committed;
  /// Consecutive entries. Stored entries at or after the index of the first one
  /// are discarded.
  std::vector<LogEntry> entries;

  bool empty() const {
    return !hard_state.has_value() && snapshot == nullptr && entries.empty();
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_WRITE_BATCH_H_
