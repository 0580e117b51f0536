#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_LOG_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_LOG_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/consensus/durable_state.h"
#include "camphorsail/consensus/log_tail.h"

namespace camphorsail {

/// The in-memory log of one replica: the latest snapshot, the entries that are
/// not compacted, the memberships among them, and the indexes of the entries
/// that need confirmation by lease holders. Owned by `Replica`. Not
/// thread-safe.
class ReplicaLog {
 public:
  /// @param state The snapshot and the entries are moved out of it.
  /// @return The log, or `kDataCorrupt` when the entries are not consecutive,
  ///     do not continue the snapshot or contain a malformed membership.
  static Expected<ReplicaLog> Create(DurableState* state);

  /// @return Index of the last compacted entry. The entries after it are in
  ///     memory.
  LogIndex base() const { return base_.index; }
  LogPosition last() const {
    return entries_.empty() ? base_ : entries_.back().position();
  }
  /// @return The position of the entry at `index`; `std::nullopt` when it is
  ///     before `base()` or after the end.
  std::optional<LogPosition> PositionAt(LogIndex index) const;
  /// @param index In (base(), last().index].
  const LogEntry& At(LogIndex index) const;

  const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }
  /// @return Number of entries after the snapshot.
  size_t EntriesSinceSnapshot() const;
  /// @return Data size of the entries after the snapshot, in bytes.
  size_t BytesSinceSnapshot() const { return bytes_since_snapshot_; }

  /// @return The membership at `index`, which must not be before the snapshot.
  const Membership& MembershipAt(LogIndex index) const;
  const Membership& LatestMembership() const {
    return memberships_.back().second;
  }
  /// @return Index of the entry that contains `LatestMembership`.
  LogIndex LatestMembershipIndex() const { return memberships_.back().first; }
  /// @return The latest membership and, when its quorum is needed too, the one
  ///     before it. A commit needs a quorum of each of them when the log is
  ///     committed up to `committed`.
  std::vector<const Membership*> QuorumMemberships(LogIndex committed) const;

  /// @return Index of the first entry after `index` that needs confirmation by
  ///     lease holders; `std::nullopt` when there is none.
  std::optional<LogIndex> FirstToConfirmAfter(LogIndex index) const;
  /// @param base Must not be before base().
  /// @param committed Commit index to report in the tail.
  /// @return The entries after `base` that need confirmation by lease holders.
  LogTail TailAfter(LogIndex base, LogIndex committed) const;

  /// @param entry Its index must follow last().index.
  void Append(LogEntry entry);
  /// Discards the entries at and after `index`.
  void TruncateFrom(LogIndex index);
  /// Replaces the snapshot by a later one of this log and drops the entries
  /// before `first_kept`.
  void Compact(std::shared_ptr<const Snapshot> snapshot, LogIndex first_kept);
  /// Replaces the whole log by a snapshot.
  void Restore(std::shared_ptr<const Snapshot> snapshot);

 private:
  ReplicaLog() = default;

  void SetSnapshot(std::shared_ptr<const Snapshot> snapshot);

  std::shared_ptr<const Snapshot> snapshot_;
  /// Position of the last compacted entry, which precedes `entries_`.
  LogPosition base_;
  std::deque<LogEntry> entries_;
  /// Data size of the entries after the snapshot.
  size_t bytes_since_snapshot_ = 0;
  /// Membership of the snapshot and of each later membership entry, by index.
  std::vector<std::pair<LogIndex, Membership>> memberships_ = {{}};
  /// Indexes of the entries in `entries_` that need confirmation by lease
  /// holders.
  std::deque<LogIndex> indexes_to_confirm_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_LOG_H_
