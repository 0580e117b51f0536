#include "camphorsail/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {

Replica::Impl::Impl(ReplicaSettings settings,
                    ReplicaId id,
                    bool is_new,
                    HardState hard_state,
                    LogIndex committed,
                    ReplicaLog log,
                    uint64_t seed,
                    MonoTime now)
    : settings_(std::move(settings)),
      id_(id),
      random_(seed),
      session_(random_.Next()),
      now_(now),
      hard_state_(hard_state),
      log_(std::move(log)),
      // A new replica has never granted a lease. A restarted replica does not
      // store its grants, so it waits until all of them have expired.
      lease_grantor_(settings_.lease_length,
                     is_new || !settings_.admission_lease
                         ? now
                         : now + settings_.lease_length),
      lease_holder_(settings_, id, session_) {
  if (log_.snapshot() != nullptr) {
    commit_ = log_.snapshot()->last.index;
  }
  commit_ = std::max(commit_, std::min(committed, log_.last().index));
  written_ = log_.last().index;
  synced_ = written_;
  last_leader_contact_ = now;
  ResetElectionDeadline();
}

void Replica::Impl::Step(const ReplicaEvent& event,
                         MonoTime now,
                         std::vector<ReplicaAction>* actions) {
  assert(now >= now_);
  now_ = now;
  actions_ = actions;
  std::visit([&](const auto& value) { Handle(value); }, event);
  FinishStep();
  actions_ = nullptr;
}

void Replica::Impl::Handle(const TickEvent&) {
  if (role_ == ReplicaRole::kLeader) {
    LeaderTick();
  } else if (now_ >= election_deadline_) {
    ResetElectionDeadline();
    if (IsElectable()) {
      StartPreVote();
    }
  }
  JoinTick();
  LeaseTick();
}

void Replica::Impl::Handle(const MessageReceivedEvent& event) {
  const ReplicaMessage& message = event.message;
  const bool addressed = message.to_vm == settings_.vm &&
                         (message.to == id_ || message.to == ReplicaId());
  if (!addressed || message.from_vm == settings_.vm) {
    return;
  }
  std::visit([&](const auto& body) { OnMessage(message, body); }, message.body);
}

void Replica::Impl::Handle(const WriteCompletedEvent& event) {
  if (!outstanding_write_.has_value() ||
      outstanding_write_->id != event.write_id) {
    return;
  }
  const OutstandingWrite write =
      *std::exchange(outstanding_write_, std::nullopt);
  synced_ = std::max(synced_, write.last);
  hard_state_synced_ = write.hard_state_version;
  if (write.snapshot != nullptr && write.snapshot != log_.snapshot()) {
    const LogPosition last = write.snapshot->last;
    // The log may have been replaced by a later snapshot in the meantime.
    if (log_.PositionAt(last.index) == last && last.index <= commit_ &&
        (log_.snapshot() == nullptr ||
         log_.snapshot()->last.index < last.index)) {
      log_.Compact(write.snapshot, write.first_kept);
    }
  }
  while (!deferred_messages_.empty() &&
         deferred_messages_.front().hard_state_version <= hard_state_synced_) {
    SendNow(std::move(deferred_messages_.front().message));
    deferred_messages_.pop_front();
  }
  if (role_ == ReplicaRole::kCandidate &&
      hard_state_synced_ == hard_state_version_) {
    votes_.insert(id_);
    CountVotes();
  }
}

void Replica::Impl::Handle(const ProposeEvent& event) {
  if (role_ != ReplicaRole::kLeader) {
    actions_->push_back(ProposalOutcomeAction{
        event.proposal_id,
        Fail(ErrorKind::kNotLeader, "this replica is not the leader")});
    return;
  }
  if (log_.last().index.value() - commit_.value() >=
      settings_.max_uncommitted_entries) {
    actions_->push_back(ProposalOutcomeAction{
        event.proposal_id,
        Fail(ErrorKind::kOverloaded,
             "the limit of " +
                 std::to_string(settings_.max_uncommitted_entries) +
                 " uncommitted entries is reached")});
    return;
  }
  AppendAsLeader(EntryKind::kData, event.changes_settings, event.data);
  proposals_.push_back({log_.last().index, event.proposal_id});
}

void Replica::Impl::Handle(const ReadIndexEvent& event) {
  if (role_ != ReplicaRole::kLeader) {
    actions_->push_back(ReadIndexAction{
        event.read_id,
        Fail(ErrorKind::kNotLeader, "this replica is not the leader")});
    return;
  }
  // Entries of earlier terms may be committed without this leader knowing it
  // yet, so the read must cover at least the first entry of its own term.
  reads_.push_back(
      {event.read_id, std::max(commit_, term_start_index_), round_ + 1});
  heartbeat_round_needed_ = true;
}

void Replica::Impl::Handle(const SnapshotCreatedEvent& event) {
  const std::optional<LogPosition> position = log_.PositionAt(event.index);
  LogIndex snapshot_index =
      log_.snapshot() == nullptr ? LogIndex() : log_.snapshot()->last.index;
  if (outstanding_write_.has_value() &&
      outstanding_write_->snapshot != nullptr) {
    snapshot_index =
        std::max(snapshot_index, outstanding_write_->snapshot->last.index);
  }
  if (!position.has_value() || event.index > applied_ ||
      event.index <= snapshot_index || unwritten_snapshot_ != nullptr) {
    return;
  }
  unwritten_snapshot_ = std::make_shared<const Snapshot>(
      Snapshot{*position, log_.MembershipAt(event.index), event.data});
  const uint64_t kept =
      std::min<uint64_t>(settings_.retained_entries, event.index.value());
  unwritten_first_kept_ = std::max(NextIndex(log_.base()),
                                   LogIndex(event.index.value() - kept + 1));
}

void Replica::Impl::FinishStep() {
  if (role_ == ReplicaRole::kLeader) {
    if (heartbeat_round_needed_) {
      StartHeartbeatRound();
    }
    AdvanceCommit();
  }
  UpdateLeaseHolder();
  if (role_ == ReplicaRole::kLeader) {
    // The lease holder of this VM may just have confirmed an entry.
    AdvanceCommit();
    AnswerReads();
    SendPending();
    if (heartbeat_round_needed_) {
      StartHeartbeatRound();
    }
  } else if (leader_ != ReplicaId() &&
             (StoredIndex() > replied_stored_ ||
              AcknowledgedIndex() > replied_acknowledged_)) {
    SendAppendReply();
  }
  ApplyCommitted();
  UpdateLeaseHolder();
  StartWrite();
  const bool snapshot_due =
      log_.EntriesSinceSnapshot() >= settings_.snapshot_after_entries ||
      log_.BytesSinceSnapshot() >= settings_.snapshot_after_bytes;
  const LogIndex snapshot_index =
      log_.snapshot() == nullptr ? LogIndex() : log_.snapshot()->last.index;
  if (snapshot_due && applied_ > snapshot_index &&
      unwritten_snapshot_ == nullptr &&
      !(outstanding_write_.has_value() &&
        outstanding_write_->snapshot != nullptr)) {
    actions_->push_back(CreateSnapshotAction{});
  }
}

void Replica::Impl::ApplyCommitted() {
  if (applied_ < log_.base() ||
      (log_.snapshot() != nullptr && applied_ < log_.snapshot()->last.index)) {
    applied_ = log_.snapshot()->last.index;
    actions_->push_back(RestoreSnapshotAction{log_.snapshot()});
  }
  if (applied_ >= commit_) {
    return;
  }
  ApplyAction apply;
  while (applied_ < commit_) {
    applied_ = NextIndex(applied_);
    apply.entries.push_back(log_.At(applied_));
  }
  actions_->push_back(std::move(apply));
}

void Replica::Impl::StartWrite() {
  if (outstanding_write_.has_value()) {
    return;
  }
  WriteAction action;
  if (hard_state_written_ != hard_state_version_) {
    action.batch.hard_state = hard_state_;
  }
  action.batch.snapshot = unwritten_snapshot_;
  action.batch.first_kept = unwritten_first_kept_;
  action.batch.committed = commit_;
  for (LogIndex i = NextIndex(written_); i <= log_.last().index;
       i = NextIndex(i)) {
    action.batch.entries.push_back(log_.At(i));
  }
  if (action.batch.empty()) {
    return;
  }
  action.write_id = ++last_write_id_;
  written_ = log_.last().index;
  hard_state_written_ = hard_state_version_;
  outstanding_write_ = OutstandingWrite{
      action.write_id, written_, hard_state_version_,
      std::exchange(unwritten_snapshot_, nullptr), unwritten_first_kept_};
  actions_->push_back(std::move(action));
}

void Replica::Impl::Restore(std::shared_ptr<const Snapshot> snapshot) {
  log_.Restore(snapshot);
  commit_ = snapshot->last.index;
  written_ = commit_;
  synced_ = LogIndex();
  if (outstanding_write_.has_value()) {
    outstanding_write_->last = LogIndex();
  }
  unwritten_first_kept_ = NextIndex(commit_);
  unwritten_snapshot_ = std::move(snapshot);
}

ReplicaMessage Replica::Impl::MakeMessage(const VmId& vm,
                                          ReplicaId replica,
                                          ReplicaMessageBody body) const {
  return ReplicaMessage{settings_.vm,   id_, vm, replica, hard_state_.term,
                        std::move(body)};
}

void Replica::Impl::SendWhenSynced(ReplicaMessage message) {
  if (hard_state_synced_ == hard_state_version_) {
    SendNow(std::move(message));
  } else {
    deferred_messages_.push_back({hard_state_version_, std::move(message)});
  }
}

void Replica::Impl::SendNow(ReplicaMessage message) {
  actions_->push_back(SendAction{std::move(message)});
}

Expected<std::unique_ptr<Replica>> Replica::Create(ReplicaSettings settings,
                                                   DurableState state,
                                                   uint64_t seed,
                                                   MonoTime now) {
  const Expected<void> valid = settings.Validate();
  if (!valid.has_value()) {
    return tl::unexpected<Error>(valid.error());
  }
  if (state.replica == ReplicaId()) {
    return Fail(ErrorKind::kDataCorrupt,
                "recovered replica id is 0, expected a non-zero id");
  }
  Expected<ReplicaLog> log = ReplicaLog::Create(&state);
  if (!log.has_value()) {
    return tl::unexpected<Error>(log.error());
  }
  if (log->last().term > state.hard_state.term) {
    return Fail(ErrorKind::kDataCorrupt,
                "last log entry has term " +
                    std::to_string(log->last().term.value()) +
                    ", but the recovered current term is " +
                    std::to_string(state.hard_state.term.value()));
  }
  return std::unique_ptr<Replica>(new Replica(std::make_unique<Impl>(
      std::move(settings), state.replica, state.is_new, state.hard_state,
      state.committed, *std::move(log), seed, now)));
}

Replica::Replica(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Replica::~Replica() = default;

void Replica::Step(const ReplicaEvent& event,
                   MonoTime now,
                   std::vector<ReplicaAction>* actions) {
  impl_->Step(event, now, actions);
}

ReplicaId Replica::id() const {
  return impl_->id();
}
ReplicaRole Replica::role() const {
  return impl_->role();
}
TermNumber Replica::term() const {
  return impl_->term();
}
VmId Replica::LeaderHint() const {
  return impl_->leader_vm();
}
LogIndex Replica::CommitIndex() const {
  return impl_->commit();
}
LogPosition Replica::LastPosition() const {
  return impl_->log().last();
}
const Membership& Replica::CurrentMembership() const {
  return impl_->log().LatestMembership();
}
bool Replica::HasCommittedEntry() const {
  return impl_->commit() > LogIndex();
}
MonoTime Replica::LeaseValidUntil() const {
  return impl_->lease_holder().ValidUntil();
}

std::optional<MonoTime> Replica::QuorumContact() const {
  return impl_->QuorumContact();
}

std::vector<LogEntry> Replica::ProvisionalTail() const {
  std::vector<LogEntry> result;
  for (const LogEntry& entry : impl_->lease_holder().ProvisionalEntries()) {
    if (entry.changes_settings) {
      result.push_back(entry);
    }
  }
  return result;
}

}  // namespace camphorsail
