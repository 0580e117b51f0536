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

/// The state and rules of a `Replica`. Its functions are grouped by source
/// file: steps and writes (replica.cc), elections (replica_election.cc), log
/// replication on the leader (replica_leader.cc) and on the follower
/// (replica_follower.cc), joining and membership changes
/// (replica_membership.cc), leases (replica_lease.cc).
class Replica::Impl {
 public:
  Impl(ReplicaSettings settings,
       ReplicaId id,
       bool fresh,
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
  const LeaseHolder& holder() const { return holder_; }

 private:
  struct HeldMessage {
    /// Sent once this version of the hard state is synced.
    uint64_t hard_state_version = 0;
    ReplicaMessage message;
  };
  struct OutstandingWrite {
    uint64_t id = 0;
    /// Last index of the log that is durable with the write.
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
    /// Heartbeat round that confirms leadership after the read arrived.
    uint64_t round = 0;
  };
  struct JoinCandidate {
    Member member;
    MonoTime received;
  };
  struct FirstStartAnswer {
    Member member;
    TermNumber term;
    bool has_log = false;
    MonoTime received;
  };

  // Steps and writes.
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
  /// Sends once the present hard state is synced.
  void Send(ReplicaMessage message);
  /// Sends a message that promises nothing about terms or votes.
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
  bool HeardFromLeader() const;
  void OnMessage(const ReplicaMessage& message, const VoteRequest& request);
  void OnMessage(const ReplicaMessage& message, const VoteReply& reply);

  // Leader.
  void LeaderTick();
  void UpdateProgressSet();
  void AppendAsLeader(EntryKind kind, bool changes_settings, std::string data);
  void StartRound();
  void SendPending();
  void SendAppend(ReplicaId replica, FollowerProgress* progress);
  void SendProbe(ReplicaId replica, FollowerProgress* progress);
  void StartSnapshot(ReplicaId replica, FollowerProgress* progress);
  void SendSnapshotChunk(ReplicaId replica, FollowerProgress* progress);
  void AdvanceCommit();
  void AnswerReads();
  void FailPending();
  /// @return True when a commit quorum of every membership in force has
  ///     `test`.
  template <typename Test>
  bool HasQuorum(const Test& test) const;
  bool HasCommittedInTerm() const;
  FollowerProgress* NoteContact(const ReplicaMessage& message, uint64_t round);
  void OnMessage(const ReplicaMessage& message, const AppendReply& reply);
  void OnMessage(const ReplicaMessage& message, const SnapshotReply& reply);

  // Follower.
  /// @return False when the sender is not the leader of the present term.
  bool AcceptLeader(const ReplicaMessage& message);
  void SendAppendReply();
  LogIndex Stored() const;
  /// @return The last index that may be acknowledged to the leader.
  LogIndex Acknowledged() const;
  void OnMessage(const ReplicaMessage& message, const AppendRequest& request);
  void OnMessage(const ReplicaMessage& message, const SnapshotChunk& chunk);

  // Joining and membership.
  void JoinTick();
  void TryFirstStart();
  void MembershipTick();
  /// @return The removal of a replica whose VM runs a newer one.
  std::optional<Membership> WithoutReplaced(const Membership& current) const;
  /// @return The promotion of a learner that is ready to vote.
  std::optional<Membership> WithPromoted(const Membership& current) const;
  /// @return With `target_voters`, the removal of a silent voter whose place a
  ///     learner can take, or of a learner that is gone.
  std::optional<Membership> WithoutSilent(const Membership& current) const;
  bool IsCaughtUp(const Member& member) const;
  /// @return Time since the member was last heard by this leader.
  absl::Duration Silence(const Member& member) const;
  /// Appends the changed membership when that is possible now.
  Expected<void> ChangeMembership(Membership changed);
  bool IsActive(const Member& member) const;
  /// @return True when the replica's process runs for at least a lease length.
  bool HasRunForALease(const Member& member) const;
  void OnMessage(const ReplicaMessage& message, const JoinRequest& request);
  void OnMessage(const ReplicaMessage& message, const JoinReply& reply);

  // Leases.
  void LeaseTick();
  void UpdateHolder();
  void RouteLeaseMessages(std::vector<ReplicaMessage> messages);
  void OnMessage(const ReplicaMessage& message, const LeaseRequest& request);
  void OnMessage(const ReplicaMessage& message, const LeaseGrant& grant);
  /// @return A grant message's body; not granted when the tail is incomplete.
  LeaseGrant MakeGrant(uint64_t session,
                       uint64_t sequence,
                       LogIndex holder_committed) const;

  const ReplicaSettings settings_;
  const ReplicaId id_;
  Random random_;
  /// Random per start.
  const uint64_t session_;
  /// Time of the present step.
  MonoTime now_;
  /// Output of the present step.
  std::vector<ReplicaAction>* actions_ = nullptr;

  HardState hard_state_;
  /// Counts the changes of `hard_state_`.
  uint64_t hard_state_version_ = 0;
  uint64_t hard_state_written_ = 0;
  uint64_t hard_state_synced_ = 0;
  ReplicaLog log_;
  LogIndex commit_;
  LogIndex applied_;
  /// Entries up to here were handed to storage in their present form.
  LogIndex written_;
  /// Entries up to here are durable in their present form.
  LogIndex synced_;
  /// Snapshot that is to be written.
  std::shared_ptr<const Snapshot> unwritten_snapshot_;
  LogIndex unwritten_first_kept_;
  std::optional<OutstandingWrite> write_;
  uint64_t last_write_id_ = 0;
  std::deque<HeldMessage> held_;

  ReplicaRole role_ = ReplicaRole::kFollower;
  /// Leader of the present term; zero when unknown.
  ReplicaId leader_;
  VmId leader_vm_;
  MonoTime election_deadline_;
  /// Last message of the present leader; nothing before the first.
  std::optional<MonoTime> leader_contact_;
  std::set<ReplicaId> votes_;

  std::map<ReplicaId, FollowerProgress> progress_;
  std::deque<PendingProposal> proposals_;
  std::deque<PendingRead> reads_;
  uint64_t round_ = 0;
  /// Sending times of the rounds that `check-quorum` may still use.
  std::deque<std::pair<uint64_t, MonoTime>> round_times_;
  bool round_needed_ = false;
  MonoTime next_heartbeat_;
  /// Index of the entry with which the present leadership began.
  LogIndex term_start_;
  MonoTime leader_since_;

  /// The log matches the present leader's log up to here.
  LogIndex matched_;
  uint64_t leader_round_ = 0;
  /// Values of the last reply to the present leader.
  LogIndex replied_acknowledged_;
  LogIndex replied_stored_;
  /// Snapshot being received; empty `data` when there is none.
  Snapshot incoming_;

  MonoTime next_join_;
  /// A leader was known at some time since the start.
  bool has_had_leader_ = false;
  /// When a leader was last heard from.
  MonoTime leader_heard_;
  /// Leader that a join reply named.
  VmId leader_hint_;
  std::map<VmId, FirstStartAnswer> first_start_answers_;
  std::map<VmId, JoinCandidate> join_candidates_;

  LeaseGrantor grantor_;
  LeaseHolder holder_;
  uint64_t reported_tail_version_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_IMPL_H_
