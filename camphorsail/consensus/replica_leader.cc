#include <algorithm>
#include <set>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {

template <typename Test>
bool Replica::Impl::HasQuorum(const Test& test) const {
  // While a membership entry is uncommitted, the previous membership's quorum
  // is needed too, because lease holders may still rely on it.
  for (const Membership* membership : log_.QuorumMemberships(commit_)) {
    size_t count = 0;
    for (const Member& member : membership->members) {
      count +=
          member.kind == MemberKind::kVoter && test(member.replica) ? 1 : 0;
    }
    if (membership->VoterCount() > 0 && count < membership->CommitQuorum()) {
      return false;
    }
  }
  return true;
}

bool Replica::Impl::HasCommittedInTerm() const {
  return commit_ >= term_start_index_;
}

std::optional<MonoTime> Replica::Impl::QuorumContact() const {
  if (role_ != ReplicaRole::kLeader || !HasCommittedInTerm()) {
    return std::nullopt;
  }
  std::optional<MonoTime> contact;
  for (const auto& [candidate, progress] : progress_) {
    const MonoTime time = progress.last_contact;
    if (contact.has_value() && time <= *contact) {
      continue;
    }
    const bool confirmed = HasQuorum([&](ReplicaId replica) {
      const auto found = progress_.find(replica);
      return replica == id_ ||
             (found != progress_.end() && found->second.last_contact >= time);
    });
    if (confirmed) {
      contact = time;
    }
  }
  // A single-member group needs no confirmation by others.
  if (progress_.empty()) {
    return now_;
  }
  return contact;
}

void Replica::Impl::LeaderTick() {
  // The start of the term counts as contact, so that a new leader does not step
  // down before its first heartbeat is answered.
  const bool has_contact = HasQuorum([&](ReplicaId replica) {
    const auto found = progress_.find(replica);
    return replica == id_ ||
           (found != progress_.end() &&
            now_ - std::max(found->second.last_contact, leader_since_) <=
                settings_.election_timeout);
  });
  if (!has_contact) {
    BecomeFollower(hard_state_.term, ReplicaId(), VmId());
    return;
  }
  if (now_ >= next_heartbeat_) {
    next_heartbeat_ = now_ + settings_.heartbeat_interval;
    heartbeat_round_needed_ = true;
    MembershipTick();
  }
}

void Replica::Impl::UpdateProgressSet() {
  std::set<ReplicaId> wanted;
  for (const Membership* membership : log_.QuorumMemberships(commit_)) {
    for (const Member& member : membership->members) {
      if (member.replica == id_) {
        continue;
      }
      wanted.insert(member.replica);
      const auto [found, inserted] = progress_.try_emplace(member.replica);
      if (inserted) {
        found->second.vm = member.vm;
        found->second.next = NextIndex(log_.last().index);
      }
    }
  }
  std::erase_if(progress_,
                [&](const auto& item) { return !wanted.contains(item.first); });
}

void Replica::Impl::AppendAsLeader(EntryKind kind,
                                   bool changes_settings,
                                   std::string data) {
  log_.Append(LogEntry{hard_state_.term, NextIndex(log_.last().index), kind,
                       changes_settings, std::move(data)});
}

void Replica::Impl::StartHeartbeatRound() {
  heartbeat_round_needed_ = false;
  ++round_;
  round_send_times_.emplace_back(round_, now_);
  while (now_ - round_send_times_.front().second >
         2 * settings_.election_timeout) {
    round_send_times_.pop_front();
  }
  for (auto& [replica, progress] : progress_) {
    const bool unreachable =
        now_ - progress.last_contact > settings_.election_timeout;
    if (progress.snapshot != nullptr && !unreachable) {
      SendSnapshotChunk(replica, &progress);
      continue;
    }
    const bool stalled =
        !progress.inflight.empty() &&
        now_ - progress.last_send >= 2 * settings_.heartbeat_interval;
    if (progress.snapshot != nullptr || stalled) {
      // The messages or their replies were lost: continue from the last entry
      // that the member is known to have stored.
      progress.snapshot = nullptr;
      progress.inflight.clear();
      progress.next = NextIndex(progress.stored);
      progress.probing = true;
    }
    SendProbe(replica, &progress);
  }
}

void Replica::Impl::SendProbe(ReplicaId replica, FollowerProgress* progress) {
  progress->next = std::max(progress->next, NextIndex(log_.base()));
  SendNow(
      MakeMessage(progress->vm, replica,
                  AppendRequest{*log_.PositionAt(PreviousIndex(progress->next)),
                                {},
                                commit_,
                                round_}));
}

void Replica::Impl::SendPending() {
  for (auto& [replica, progress] : progress_) {
    // While it is unknown where the logs match, only heartbeats are sent, so
    // that no entries are sent to a member that is down.
    while (progress.snapshot == nullptr && !progress.probing &&
           progress.next <= log_.last().index &&
           progress.inflight.size() < settings_.max_inflight_appends) {
      SendAppend(replica, &progress);
    }
  }
}

void Replica::Impl::SendAppend(ReplicaId replica, FollowerProgress* progress) {
  const std::optional<LogPosition> previous =
      log_.PositionAt(PreviousIndex(progress->next));
  if (!previous.has_value()) {
    StartSnapshot(replica, progress);
    return;
  }
  AppendRequest request{*previous, {}, commit_, round_};
  size_t bytes = 0;
  LogIndex index = progress->next;
  while (index <= log_.last().index && bytes < settings_.max_append_bytes) {
    request.entries.push_back(log_.At(index));
    bytes += request.entries.back().data.size() + sizeof(LogEntry);
    index = NextIndex(index);
  }
  progress->inflight.push_back(PreviousIndex(index));
  progress->last_send = now_;
  progress->next = index;
  SendNow(MakeMessage(progress->vm, replica, std::move(request)));
}

void Replica::Impl::StartSnapshot(ReplicaId replica,
                                  FollowerProgress* progress) {
  progress->snapshot = log_.snapshot();
  progress->snapshot_offset = 0;
  progress->inflight.clear();
  SendSnapshotChunk(replica, progress);
}

void Replica::Impl::SendSnapshotChunk(ReplicaId replica,
                                      FollowerProgress* progress) {
  const Snapshot& snapshot = *progress->snapshot;
  progress->last_send = now_;
  SendNow(MakeMessage(
      progress->vm, replica,
      SnapshotChunk{snapshot.last, snapshot.membership,
                    progress->snapshot_offset, snapshot.data.size(),
                    snapshot.data.substr(progress->snapshot_offset,
                                         settings_.snapshot_chunk_bytes),
                    round_}));
}

void Replica::Impl::AdvanceCommit() {
  const LogIndex own = AcknowledgedIndex();
  std::set<LogIndex, std::greater<>> candidates = {own};
  for (const auto& [replica, progress] : progress_) {
    candidates.insert(progress.acknowledged);
  }
  for (LogIndex index : candidates) {
    // Only entries of the leader's own term are committed by counting replicas
    // (Ongaro 2014, 3.6.2).
    if (index <= commit_ || index < term_start_index_) {
      return;
    }
    const bool committed = HasQuorum([&](ReplicaId replica) {
      if (replica == id_) {
        return own >= index;
      }
      const auto found = progress_.find(replica);
      return found != progress_.end() && found->second.acknowledged >= index;
    });
    if (!committed) {
      continue;
    }
    const bool membership_committed = commit_ < log_.LatestMembershipIndex() &&
                                      index >= log_.LatestMembershipIndex();
    commit_ = index;
    UpdateProgressSet();
    if (membership_committed && log_.last().index == commit_) {
      // Replicas store the commit index with their entries. Without another
      // entry they would not store that the membership is committed, and a
      // restart of all VMs would need the quorum of the previous membership
      // again.
      AppendAsLeader(EntryKind::kNoOp, /*changes_settings=*/false, "");
    }
    while (!proposals_.empty() && proposals_.front().index <= commit_) {
      actions_->push_back(ProposalOutcomeAction{proposals_.front().proposal_id,
                                                proposals_.front().index});
      proposals_.pop_front();
    }
    // Sends the commit index to the followers at once. Otherwise their state
    // would lag by up to a heartbeat interval.
    heartbeat_round_needed_ = true;
    if (log_.LatestMembershipIndex() <= commit_ &&
        log_.LatestMembership().Find(id_) == nullptr) {
      // The removal of this replica is committed.
      StartHeartbeatRound();
      BecomeFollower(hard_state_.term, ReplicaId(), VmId());
    }
    return;
  }
}

void Replica::Impl::AnswerReads() {
  while (!reads_.empty()) {
    const PendingRead& read = reads_.front();
    const bool confirmed =
        HasCommittedInTerm() && HasQuorum([&](ReplicaId replica) {
          const auto found = progress_.find(replica);
          return replica == id_ || (found != progress_.end() &&
                                    found->second.round >= read.round);
        });
    if (!confirmed || commit_ < read.index) {
      return;
    }
    actions_->push_back(ReadIndexAction{read.read_id, read.index});
    reads_.pop_front();
  }
}

void Replica::Impl::FailPending() {
  for (const PendingProposal& proposal : proposals_) {
    actions_->push_back(ProposalOutcomeAction{
        proposal.proposal_id,
        Fail(ErrorKind::kOutcomeUnknown,
             "leadership was lost before the entry was committed")});
  }
  proposals_.clear();
  for (const PendingRead& read : reads_) {
    actions_->push_back(ReadIndexAction{
        read.read_id,
        Fail(ErrorKind::kNotLeader,
             "leadership was lost before the read was confirmed")});
  }
  reads_.clear();
}

FollowerProgress* Replica::Impl::RecordContact(const ReplicaMessage& message,
                                               uint64_t round) {
  if (message.to != id_) {
    return nullptr;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, ReplicaId(), VmId());
    return nullptr;
  }
  const auto found = progress_.find(message.from);
  if (role_ != ReplicaRole::kLeader || message.term != hard_state_.term ||
      found == progress_.end()) {
    return nullptr;
  }
  FollowerProgress& progress = found->second;
  progress.round = std::max(progress.round, round);
  const auto sent =
      std::find_if(round_send_times_.begin(), round_send_times_.end(),
                   [&](const auto& item) { return item.first == round; });
  if (sent != round_send_times_.end()) {
    // The sending time of the round is used, so that a late reply does not
    // count as recent contact.
    progress.last_contact = std::max(progress.last_contact, sent->second);
    progress.first_contact = progress.first_contact.value_or(now_);
  }
  return &progress;
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const AppendReply& reply) {
  FollowerProgress* progress = RecordContact(message, reply.round);
  if (progress == nullptr) {
    return;
  }
  if (progress->snapshot != nullptr) {
    if (!reply.matched || reply.stored < progress->snapshot->last.index) {
      return;
    }
    progress->snapshot = nullptr;
    progress->probing = true;
  }
  if (!reply.matched) {
    // The hint may be before the last entry that the follower has stored,
    // because it skips all entries of a conflicting term.
    const LogIndex next = NextIndex(std::max(reply.hint, progress->stored));
    if (next >= progress->next) {
      return;
    }
    progress->next = next;
    progress->probing = true;
    progress->inflight.clear();
    if (log_.PositionAt(PreviousIndex(next)).has_value()) {
      SendProbe(message.from, progress);
    } else {
      StartSnapshot(message.from, progress);
    }
    return;
  }
  progress->stored = std::max(progress->stored, reply.stored);
  progress->acknowledged = std::max(progress->acknowledged, reply.acknowledged);
  while (!progress->inflight.empty() &&
         progress->inflight.front() <= progress->stored) {
    progress->inflight.pop_front();
  }
  if (progress->probing) {
    progress->next = NextIndex(progress->stored);
    progress->probing = false;
    progress->inflight.clear();
  }
  progress->next = std::max(progress->next, NextIndex(progress->stored));
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const SnapshotReply& reply) {
  FollowerProgress* progress = RecordContact(message, reply.round);
  if (progress == nullptr || progress->snapshot == nullptr ||
      reply.last != progress->snapshot->last) {
    return;
  }
  if (reply.installed) {
    progress->stored = std::max(progress->stored, reply.last.index);
    progress->acknowledged = std::max(progress->acknowledged, reply.last.index);
    progress->next = NextIndex(progress->stored);
    progress->probing = true;
    progress->snapshot = nullptr;
    return;
  }
  const uint64_t size = progress->snapshot->data.size();
  const bool advanced = reply.next_offset > progress->snapshot_offset;
  progress->snapshot_offset = std::min<uint64_t>(reply.next_offset, size);
  if (advanced && progress->snapshot_offset < size) {
    SendSnapshotChunk(message.from, progress);
  }
}

}  // namespace camphorsail
