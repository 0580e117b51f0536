#include <algorithm>
#include <optional>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {

LogIndex Replica::Impl::StoredIndex() const {
  return std::min(matched_, synced_);
}

LogIndex Replica::Impl::AcknowledgedIndex() const {
  const LogIndex stored =
      role_ == ReplicaRole::kLeader ? synced_ : StoredIndex();
  // Entries that are known to be committed need no confirmation by lease
  // holders any more.
  for (std::optional<LogIndex> index = log_.FirstToConfirmAfter(commit_);
       index.has_value() && *index <= stored;
       index = log_.FirstToConfirmAfter(*index)) {
    if (!lease_grantor_.MayAcknowledge({hard_state_.term, *index}, now_)) {
      return PreviousIndex(*index);
    }
  }
  return stored;
}

bool Replica::Impl::AcceptLeader(const ReplicaMessage& message) {
  if (message.to != id_) {
    return false;
  }
  if (message.term < hard_state_.term) {
    // The reply carries the current term, so that the leader of an earlier term
    // steps down.
    SendWhenSynced(MakeMessage(message.from_vm, message.from, AppendReply{}));
    return false;
  }
  if (message.term > hard_state_.term || role_ != ReplicaRole::kFollower ||
      leader_ != message.from) {
    BecomeFollower(message.term, message.from, message.from_vm);
  }
  leader_contact_ = now_;
  ResetElectionDeadline();
  return true;
}

void Replica::Impl::SendAppendReply() {
  AppendReply reply;
  reply.matched = true;
  reply.acknowledged = AcknowledgedIndex();
  reply.stored = StoredIndex();
  reply.round = leader_round_;
  replied_acknowledged_ = reply.acknowledged;
  replied_stored_ = reply.stored;
  SendWhenSynced(MakeMessage(leader_vm_, leader_, reply));
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const AppendRequest& request) {
  if (!AcceptLeader(message)) {
    return;
  }
  leader_round_ = std::max(leader_round_, request.round);
  const LogPosition& previous = request.previous;
  const std::optional<LogPosition> local = log_.PositionAt(previous.index);
  const bool compacted = previous.index < log_.base();
  if (!compacted && local != previous) {
    AppendReply reply;
    reply.round = leader_round_;
    reply.hint = log_.last().index;
    if (local.has_value()) {
      // Skips all entries of the conflicting term.
      reply.hint = PreviousIndex(previous.index);
      while (reply.hint > commit_ && reply.hint > log_.base() &&
             log_.PositionAt(reply.hint)->term == local->term) {
        reply.hint = PreviousIndex(reply.hint);
      }
    }
    SendWhenSynced(MakeMessage(message.from_vm, message.from, reply));
    return;
  }
  LogIndex matched = previous.index;
  bool appended = false;
  for (const LogEntry& entry : request.entries) {
    matched = entry.index;
    if (entry.index <= log_.base()) {
      continue;
    }
    const std::optional<LogPosition> present = log_.PositionAt(entry.index);
    if (present == entry.position()) {
      continue;
    }
    if (entry.index <= commit_ ||
        (entry.kind == EntryKind::kMembership &&
         !Membership::Decode(entry.data).has_value())) {
      // A correct leader never changes a committed entry or sends a malformed
      // membership. Such a request is ignored, so that the log stays intact.
      return;
    }
    if (present.has_value()) {
      log_.TruncateFrom(entry.index);
      const LogIndex kept = PreviousIndex(entry.index);
      written_ = std::min(written_, kept);
      synced_ = std::min(synced_, kept);
      if (outstanding_write_.has_value()) {
        outstanding_write_->last = std::min(outstanding_write_->last, kept);
      }
    }
    log_.Append(entry);
    appended = true;
  }
  matched_ = std::max(matched_, matched);
  commit_ = std::max(commit_, std::min(request.leader_commit, matched_));
  if (!appended) {
    SendAppendReply();
  }
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const SnapshotChunk& chunk) {
  if (!AcceptLeader(message)) {
    return;
  }
  leader_round_ = std::max(leader_round_, chunk.round);
  SnapshotReply reply;
  reply.last = chunk.last;
  reply.round = leader_round_;
  if (chunk.last.index <= commit_ ||
      log_.PositionAt(chunk.last.index) == chunk.last) {
    // The log contains the snapshot's last entry. Later entries are kept,
    // because they may have been acknowledged.
    commit_ = std::max(commit_, chunk.last.index);
    matched_ = std::max(matched_, chunk.last.index);
    reply.installed = synced_ >= chunk.last.index;
    reply.next_offset = chunk.total_size;
    SendWhenSynced(MakeMessage(message.from_vm, message.from, reply));
    return;
  }
  if (incoming_snapshot_.last != chunk.last || chunk.offset == 0) {
    incoming_snapshot_ = Snapshot{chunk.last, chunk.membership, ""};
  }
  if (chunk.offset == incoming_snapshot_.data.size()) {
    incoming_snapshot_.data += chunk.data;
  }
  reply.next_offset = incoming_snapshot_.data.size();
  if (incoming_snapshot_.data.size() == chunk.total_size) {
    Restore(std::make_shared<const Snapshot>(
        std::exchange(incoming_snapshot_, Snapshot())));
    matched_ = commit_;
  }
  SendWhenSynced(MakeMessage(message.from_vm, message.from, reply));
}

}  // namespace camphorsail
