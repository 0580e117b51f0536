#ifndef CAMPHORSAIL_CONSENSUS_FOLLOWER_PROGRESS_H_
#define CAMPHORSAIL_CONSENSUS_FOLLOWER_PROGRESS_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/consensus/snapshot.h"

namespace camphorsail {

/// The leader's view of one other member.
struct FollowerProgress {
  VmId vm;
  /// Last entry that the member has acknowledged. Counted for commit.
  LogIndex acknowledged;
  /// Entries up to this index are synced at the member.
  LogIndex stored;
  /// Index of the next entry to send.
  LogIndex next;
  /// True until it is known up to which index the logs match. Until then only
  /// appends without entries are sent.
  bool probing = true;
  /// Last entry index of each unanswered append.
  std::deque<LogIndex> inflight;
  /// Sending time of the latest entries or snapshot chunk.
  MonoTime last_send;
  /// Time of the first reply to this leader; `std::nullopt` before it.
  std::optional<MonoTime> first_contact;
  /// Sending time of the latest heartbeat round that the member has answered.
  MonoTime last_contact;
  /// Latest heartbeat round that the member has answered.
  uint64_t round = 0;
  /// The snapshot that is being sent; null when there is none.
  std::shared_ptr<const Snapshot> snapshot;
  /// Number of bytes of `snapshot` that the member has received.
  uint64_t snapshot_offset = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_FOLLOWER_PROGRESS_H_
