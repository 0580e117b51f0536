#ifndef CAMPHORSAIL_CONSENSUS_LOG_TAIL_H_
#define CAMPHORSAIL_CONSENSUS_LOG_TAIL_H_

#include <vector>

#include "camphorsail/consensus/log_entry.h"

namespace camphorsail {

/// The entries of a log with an index in (base, last.index] that need
/// confirmation by lease holders.
struct LogTail {
  /// Entries up to this index are not part of the tail.
  LogIndex base;
  /// Last position of the log from which the tail was taken.
  LogPosition last;
  /// Commit index of the replica that owns the log.
  LogIndex committed;
  std::vector<LogEntry> entries;

  MSGPACK_DEFINE(base, last, committed, entries)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LOG_TAIL_H_
