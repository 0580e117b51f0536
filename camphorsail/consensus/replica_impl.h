#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_IMPL_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "camphorsail/base/random.h"
#include "camphorsail/consensus/follower_progress.h"
#include "camphorsail/consensus/lease_grantor.h"
#include "camphorsail/consensus/lease_holder.h"
#include "camphorsail/consensus/replica.h"
#include "camphorsail/consensus/replica_log.h"

namespace camphorsail {

/// Implementation of `Replica`. The member functions are grouped by source
/// file: events and writes (replica.cc), elections (replica_election.cc), log
/// replication on the leader (replica_leader.cc) and on the follower
/// (replica_follower.cc), joining and membership changes
/// (replica_membership.cc), leases (replica_lease.cc).
class Replica::Impl {
 public:
  Impl(ReplicaSettings settings,
       ReplicaId id,
       bool is_new,
       HardState hard_state,
       LogIndex committed,
       ReplicaLog log,
       uint64_t seed,
       MonoTime now);

  void Step(const ReplicaEvent& event,
            MonoTime now,
            std::vector<ReplicaAction>* actions);

  ReplicaId id() const { return id_; }
  ReplicaRole role() const { return role_; }
  TermNumber term() const { return hard_state_.term; }
  const VmId& leader_vm() const { return leader_vm_; }
  LogIndex commit() const { return commit_; }
  /// See `Replica::QuorumContact`.
  std::optional<MonoTime> QuorumContact() const;
  const ReplicaLog& log() const { return log_; }
  const LeaseHolder& lease_holder() const { return lease_holder_; }

 private:
  struct DeferredMessage {
    /// The message is sent once this version of the hard state is synced.
    uint64_t hard_state_version = 0;
    ReplicaMessage message;
  };
  struct OutstandingWrite {
    uint64_t id = 0;
    /// The log is durable up to this index when the write completes.
    LogIndex last;
    uint64_t hard_state_version = 0;
    std::shared_ptr<const Snapshot> snapshot;
    LogIndex first_kept;
  };
  struct PendingProposal {
    LogIndex index;
    uint64_t proposal_id = 0;
  };
  struct PendingRead {
    uint64_t read_id = 0;
    LogIndex index;
    /// The first heartbeat round that started after the read arrived. Its
    /// replies confirm that this replica was still the leader at that time.
    uint64_t round = 0;
  };
  struct JoinCandidate {
    Member member;
    MonoTime received;
  };
  struct BootstrapReply {
    Member member;
    TermNumber term;
    bool has_log = false;
    MonoTime received;
  };

  // Events and writes.
  void Handle(const TickEvent& event);
  void Handle(const MessageReceivedEvent& event);
  void Handle(const WriteCompletedEvent& event);
  void Handle(const ProposeEvent& event);
  void Handle(const ProposeMembershipEvent& event);
  void Handle(const ReadIndexEvent& event);
  void Handle(const SnapshotCreatedEvent& event);
  void FinishStep();
  void ApplyCommitted();
  void StartWrite();
  void Restore(std::shared_ptr<const Snapshot> snapshot);
  ReplicaMessage MakeMessage(const VmId& vm,
                             ReplicaId replica,
                             ReplicaMessageBody body) const;
  /// Sends the message once the current hard state is synced.
  void SendWhenSynced(ReplicaMessage message);
  /// Sends the message at once. Only for messages that do not depend on an
  /// unsynced term or vote.
  void SendNow(ReplicaMessage message);

  // Elections.
  void BecomeFollower(TermNumber term, ReplicaId leader, const VmId& leader_vm);
  void StartPreVote();
  void StartElection();
  void CountVotes();
  void BecomeLeader();
  void RequestVotes(bool pre_vote);
  void ResetElectionDeadline();
  bool IsElectable() const;
  bool HasLeaderContact() const;
  void OnMessage(const ReplicaMessage& message, const VoteRequest& request);
  void OnMessage(const ReplicaMessage& message, const VoteReply& reply);

  // Leader.
  void LeaderTick();
  void UpdateProgressSet();
  void AppendAsLeader(EntryKind kind, bool changes_settings, std::string data);
  void StartHeartbeatRound();
  void SendPending();
  void SendAppend(ReplicaId replica, FollowerProgress* progress);
  void SendProbe(ReplicaId replica, FollowerProgress* progress);
  void StartSnapshot(ReplicaId replica, FollowerProgress* progress);
  void SendSnapshotChunk(ReplicaId replica, FollowerProgress* progress);
  void AdvanceCommit();
  void AnswerReads();
  void FailPending();
  /// @return True when `test` holds for a commit quorum of every membership
  ///     whose quorum is currently needed.
  template <typename Test>
  bool HasQuorum(const Test& test) const;
  bool HasCommittedInTerm() const;
  FollowerProgress* RecordContact(const ReplicaMessage& message,
                                  uint64_t round);
  void OnMessage(const ReplicaMessage& message, const AppendReply& reply);
  void OnMessage(const ReplicaMessage& message, const SnapshotReply& reply);

  // Follower.
  /// @return False when the sender is not the leader of the current term.
  bool AcceptLeader(const ReplicaMessage& message);
  void SendAppendReply();
  LogIndex StoredIndex() const;
  /// @return The last index that may be acknowledged to the leader.
  LogIndex AcknowledgedIndex() const;
  void OnMessage(const ReplicaMessage& message, const AppendRequest& request);
  void OnMessage(const ReplicaMessage& message, const SnapshotChunk& chunk);

  // Joining and membership.
  void JoinTick();
  void TryBootstrap();
  void MembershipTick();
  /// @return `current` without an inactive replica whose VM hosts another
  ///     replica that is caught up and has run for at least the lease length;
  ///     `std::nullopt` when there is none.
  std::optional<Membership> WithoutReplacedReplica(
      const Membership& current) const;
  /// @return `current` with a learner promoted to voter; `std::nullopt` when no
  ///     learner is ready.
  std::optional<Membership> WithPromotedLearner(
      const Membership& current) const;
  /// @return With `target_voters`: `current` without an unreachable voter that
  ///     a learner can replace, or without an unreachable learner.
  ///     `std::nullopt` when there is none.
  std::optional<Membership> WithoutUnreachableMember(
      const Membership& current) const;
  bool IsCaughtUp(const Member& member) const;
  /// @return Time since this leader last had contact with the member.
  absl::Duration TimeSinceContact(const Member& member) const;
  /// Appends a membership entry, or fails with `kSettingsConflict` when the
  /// change is not possible now.
  Expected<void> ChangeMembership(Membership changed);
  bool IsActive(const Member& member) const;
  /// @return True when the replica's process has run for at least the lease
  ///     length.
  bool HasRunForLeaseLength(const Member& member) const;
  void OnMessage(const ReplicaMessage& message, const JoinRequest& request);
  void OnMessage(const ReplicaMessage& message, const JoinReply& reply);

  // Leases.
  void LeaseTick();
  void UpdateLeaseHolder();
  void RouteLeaseMessages(std::vector<ReplicaMessage> messages);
  void OnMessage(const ReplicaMessage& message, const LeaseRequest& request);
  void OnMessage(const ReplicaMessage& message, const LeaseGrant& grant);
  /// @return The body of a grant message. `granted` is false when the tail
  ///     would be incomplete or too large; the message must not be sent then.
  ///     A caller that only sends the tail clears `granted` afterwards.
  LeaseGrant MakeGrant(uint64_t session,
                       uint64_t sequence,
                       LogIndex holder_committed) const;

  const ReplicaSettings settings_;
  const ReplicaId id_;
  Random random_;
  /// Random number that identifies this start of the process.
  const uint64_t session_;
  /// Time of the current step.
  MonoTime now_;
  /// Actions of the current step; null outside of `Step`.
  std::vector<ReplicaAction>* actions_ = nullptr;

  HardState hard_state_;
  /// Incremented with each change of `hard_state_`.
  uint64_t hard_state_version_ = 0;
  uint64_t hard_state_written_ = 0;
  uint64_t hard_state_synced_ = 0;
  ReplicaLog log_;
  LogIndex commit_;
  LogIndex applied_;
  /// Entries up to this index were passed to storage with their current
  /// content.
  LogIndex written_;
  /// Entries up to this index are durable with their current content.
  LogIndex synced_;
  /// Snapshot that the next write stores; null when there is none.
  std::shared_ptr<const Snapshot> unwritten_snapshot_;
  LogIndex unwritten_first_kept_;
  std::optional<OutstandingWrite> outstanding_write_;
  uint64_t last_write_id_ = 0;
  std::deque<DeferredMessage> deferred_messages_;

  ReplicaRole role_ = ReplicaRole::kFollower;
  /// Leader of the current term; zero when unknown.
  ReplicaId leader_;
  VmId leader_vm_;
  MonoTime election_deadline_;
  /// Time of the last message from the current leader; `std::nullopt` before
  /// the first.
  std::optional<MonoTime> leader_contact_;
  std::set<ReplicaId> votes_;

  std::map<ReplicaId, FollowerProgress> progress_;
  std::deque<PendingProposal> proposals_;
  std::deque<PendingRead> reads_;
  uint64_t round_ = 0;
  /// Round numbers and sending times of the heartbeat rounds whose replies may
  /// still count as leader contact.
  std::deque<std::pair<uint64_t, MonoTime>> round_send_times_;
  bool heartbeat_round_needed_ = false;
  MonoTime next_heartbeat_;
  /// Index of the no-op entry that this leader appended at its election.
  LogIndex term_start_index_;
  MonoTime leader_since_;

  /// The log is known to match the current leader's log up to this index.
  LogIndex matched_;
  uint64_t leader_round_ = 0;
  /// Values in the last reply to the current leader.
  LogIndex replied_acknowledged_;
  LogIndex replied_stored_;
  /// Part of a snapshot received so far; `data` is empty when there is none.
  Snapshot incoming_snapshot_;

  MonoTime next_join_;
  /// True once a leader was known since the start.
  bool has_had_leader_ = false;
  /// Last tick at which the replica had contact with a leader; the start time
  /// before the first.
  MonoTime last_leader_contact_;
  /// VM of the leader according to the last join reply.
  VmId leader_hint_;
  std::map<VmId, BootstrapReply> bootstrap_replies_;
  std::map<VmId, JoinCandidate> join_candidates_;

  LeaseGrantor lease_grantor_;
  LeaseHolder lease_holder_;
  uint64_t reported_tail_version_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_IMPL_H_
