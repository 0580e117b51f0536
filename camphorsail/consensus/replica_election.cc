#include <algorithm>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {

namespace {

/// Until a replica has known a leader since its start, its election deadline is
/// one to two times this fraction of the election timeout.
constexpr double kFirstElectionTimeoutFactor = 0.25;

}  // namespace

void Replica::Impl::BecomeFollower(TermNumber term,
                                   ReplicaId leader,
                                   const VmId& leader_vm) {
  if (role_ == ReplicaRole::kLeader) {
    FailPending();
    progress_.clear();
    round_send_times_.clear();
    heartbeat_round_needed_ = false;
    join_candidates_.clear();
  }
  if (role_ != ReplicaRole::kFollower) {
    ResetElectionDeadline();
  }
  role_ = ReplicaRole::kFollower;
  votes_.clear();
  const bool new_term = term > hard_state_.term;
  if (new_term) {
    hard_state_ = HardState{term, ReplicaId()};
    ++hard_state_version_;
  }
  if (new_term || leader != leader_) {
    // It is not known yet how far the new leader's log matches.
    matched_ = LogIndex();
    replied_acknowledged_ = LogIndex();
    replied_stored_ = LogIndex();
    leader_round_ = 0;
    incoming_snapshot_ = Snapshot();
    leader_contact_.reset();
  }
  leader_ = leader;
  leader_vm_ = leader_vm;
  has_had_leader_ = has_had_leader_ || leader != ReplicaId();
}

bool Replica::Impl::IsElectable() const {
  return log_.LatestMembership().IsVoter(id_);
}

bool Replica::Impl::HasLeaderContact() const {
  if (role_ == ReplicaRole::kLeader) {
    return true;
  }
  return leader_ != ReplicaId() && leader_contact_.has_value() &&
         now_ - *leader_contact_ < settings_.election_timeout;
}

void Replica::Impl::ResetElectionDeadline() {
  // After a simultaneous restart of all replicas, the short first timeout gives
  // an early leader. When a leader is alive, its followers refuse the pre-vote,
  // so an early pre-vote is harmless.
  const double factor = has_had_leader_ ? 1.0 : kFirstElectionTimeoutFactor;
  election_deadline_ =
      now_ + settings_.election_timeout * (factor * (1.0 + random_.Uniform()));
}

void Replica::Impl::StartPreVote() {
  role_ = ReplicaRole::kPreCandidate;
  leader_ = ReplicaId();
  leader_vm_ = VmId();
  votes_ = {id_};
  RequestVotes(/*pre_vote=*/true);
  CountVotes();
}

void Replica::Impl::StartElection() {
  role_ = ReplicaRole::kCandidate;
  hard_state_ = HardState{TermNumber(hard_state_.term.value() + 1), id_};
  ++hard_state_version_;
  // The replica's own vote counts once it is synced.
  votes_.clear();
  ResetElectionDeadline();
  RequestVotes(/*pre_vote=*/false);
}

void Replica::Impl::RequestVotes(bool pre_vote) {
  for (const Member& member : log_.LatestMembership().members) {
    if (member.kind != MemberKind::kVoter || member.replica == id_) {
      continue;
    }
    ReplicaMessage message = MakeMessage(member.vm, member.replica,
                                         VoteRequest{pre_vote, log_.last()});
    if (pre_vote) {
      message.term = TermNumber(hard_state_.term.value() + 1);
    }
    SendWhenSynced(std::move(message));
  }
}

void Replica::Impl::CountVotes() {
  const Membership& membership = log_.LatestMembership();
  const auto votes = static_cast<size_t>(
      std::count_if(votes_.begin(), votes_.end(),
                    [&](ReplicaId id) { return membership.IsVoter(id); }));
  if (votes < membership.CommitQuorum()) {
    return;
  }
  if (role_ == ReplicaRole::kPreCandidate) {
    // When the process was frozen, the last vote may be handled before the tick
    // that would have ended this pre-vote. The earlier votes may then be out of
    // date.
    if (now_ < election_deadline_) {
      StartElection();
    }
  } else if (role_ == ReplicaRole::kCandidate) {
    BecomeLeader();
  }
}

void Replica::Impl::BecomeLeader() {
  role_ = ReplicaRole::kLeader;
  has_had_leader_ = true;
  leader_ = id_;
  leader_vm_ = settings_.vm;
  leader_since_ = now_;
  incoming_snapshot_ = Snapshot();
  progress_.clear();
  round_send_times_.clear();
  UpdateProgressSet();
  AppendAsLeader(EntryKind::kNoOp, /*changes_settings=*/false, "");
  term_start_index_ = log_.last().index;
  next_heartbeat_ = now_ + settings_.heartbeat_interval;
  heartbeat_round_needed_ = true;
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const VoteRequest& request) {
  if (message.to != id_) {
    // A vote request is addressed to one replica. Another replica on the same
    // VM does not know the votes and acknowledgements of the addressed one.
    return;
  }
  // The refusal carries the current term. Without it the candidate's next
  // pre-vote would fail again.
  if (message.term < hard_state_.term ||
      (request.pre_vote && message.term == hard_state_.term)) {
    SendWhenSynced(
        MakeMessage(message.from_vm, message.from,
                    VoteReply{request.pre_vote, false, message.term}));
    return;
  }
  // While this replica has contact with the leader, a candidate that cannot
  // reach the leader must not replace it (Ongaro 2014, 4.2.3 and 9.6).
  if (HasLeaderContact()) {
    return;
  }
  const bool up_to_date = request.last >= log_.last();
  if (request.pre_vote) {
    if (up_to_date) {
      SendWhenSynced(MakeMessage(message.from_vm, message.from,
                                 VoteReply{true, true, message.term}));
    }
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, ReplicaId(), VmId());
  }
  const bool may_vote = hard_state_.voted_for == ReplicaId() ||
                        hard_state_.voted_for == message.from;
  if (!up_to_date || !may_vote || role_ != ReplicaRole::kFollower ||
      leader_ != ReplicaId()) {
    SendWhenSynced(MakeMessage(message.from_vm, message.from,
                               VoteReply{false, false, message.term}));
    return;
  }
  if (hard_state_.voted_for != message.from) {
    hard_state_.voted_for = message.from;
    ++hard_state_version_;
  }
  ResetElectionDeadline();
  SendWhenSynced(MakeMessage(message.from_vm, message.from,
                             VoteReply{false, true, message.term}));
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const VoteReply& reply) {
  if (message.to != id_) {
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, ReplicaId(), VmId());
    return;
  }
  if (!reply.granted) {
    return;
  }
  const bool pre_vote_counts =
      reply.pre_vote && role_ == ReplicaRole::kPreCandidate &&
      reply.request_term.value() == hard_state_.term.value() + 1;
  const bool vote_counts = !reply.pre_vote &&
                           role_ == ReplicaRole::kCandidate &&
                           reply.request_term == hard_state_.term;
  if (pre_vote_counts || vote_counts) {
    votes_.insert(message.from);
    CountVotes();
  }
}

}  // namespace camphorsail
