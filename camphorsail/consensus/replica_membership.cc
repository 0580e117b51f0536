#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {
namespace {

constexpr absl::Duration kJoinInterval = absl::Milliseconds(200);
/// Older join replies do not count for the bootstrap of the group, and older
/// join requests are dropped.
constexpr absl::Duration kJoinValidity = absl::Seconds(1);
/// A voter that has had no leader for this long also sends join requests,
/// because the group may have replaced it.
constexpr absl::Duration kRejoinAfter = absl::Seconds(3);

Member* FindMember(Membership* membership, ReplicaId replica) {
  return const_cast<Member*>(membership->Find(replica));
}

Membership WithoutMember(const Membership& current, ReplicaId replica) {
  Membership changed = current;
  std::erase_if(changed.members,
                [&](const Member& m) { return m.replica == replica; });
  changed.removed_grants_expired = true;
  return changed;
}

}  // namespace

void Replica::Impl::JoinTick() {
  if (HasLeaderContact()) {
    last_leader_contact_ = now_;
    return;
  }
  // The entry that added a learner may have been lost with the leader that
  // proposed it, so a learner without a leader sends join requests again. A
  // voter does not, unless the group may have replaced it.
  const bool may_be_replaced = settings_.target_voters > 0 &&
                               now_ - last_leader_contact_ >= kRejoinAfter;
  if ((IsElectable() && !may_be_replaced) || now_ < next_join_) {
    return;
  }
  next_join_ = now_ + kJoinInterval;
  const Member self{id_, settings_.vm, settings_.failure_domain,
                    MemberKind::kLearner};
  std::set<VmId> contacts(settings_.voter_vms.begin(),
                          settings_.voter_vms.end());
  if (settings_.target_voters > 0) {
    for (const Member& member : log_.LatestMembership().members) {
      contacts.insert(member.vm);
    }
    if (!leader_hint_.value().empty()) {
      contacts.insert(leader_hint_);
    }
  }
  contacts.erase(settings_.vm);
  for (const VmId& vm : contacts) {
    SendNow(MakeMessage(vm, ReplicaId(), JoinRequest{session_, self}));
  }
  if (settings_.may_bootstrap_group) {
    TryBootstrap();
  }
}

void Replica::Impl::TryBootstrap() {
  if (log_.last().index > LogIndex()) {
    return;
  }
  if (*std::min_element(settings_.voter_vms.begin(),
                        settings_.voter_vms.end()) != settings_.vm) {
    return;
  }
  Membership membership;
  TermNumber term = hard_state_.term;
  for (const VmId& vm : settings_.voter_vms) {
    Member member{id_, settings_.vm, settings_.failure_domain,
                  MemberKind::kVoter};
    if (vm != settings_.vm) {
      const auto reply = bootstrap_replies_.find(vm);
      if (reply == bootstrap_replies_.end() || reply->second.has_log ||
          now_ - reply->second.received > kJoinValidity) {
        return;
      }
      member = reply->second.member;
      member.kind = MemberKind::kVoter;
      term = std::max(term, reply->second.term);
    }
    membership.members.push_back(std::move(member));
  }
  // An earlier replica of this VM may have bootstrapped the group and lost its
  // disk before any entry reached another VM. The higher term distinguishes the
  // new first entry from the lost one.
  hard_state_ = HardState{TermNumber(term.value() + 1), ReplicaId()};
  ++hard_state_version_;
  AppendAsLeader(EntryKind::kMembership, /*changes_settings=*/false,
                 membership.Encode());
  election_deadline_ = now_;
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const JoinRequest& request) {
  const Member self{id_, settings_.vm, settings_.failure_domain,
                    MemberKind::kLearner};
  const bool has_log = log_.last().index > LogIndex();
  SendNow(MakeMessage(message.from_vm, message.from,
                      JoinReply{request.session, has_log, self, leader_vm_}));
  if (role_ == ReplicaRole::kLeader && request.member.vm == message.from_vm &&
      request.member.replica != ReplicaId()) {
    join_candidates_[message.from_vm] = {request.member, now_};
  }
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const JoinReply& reply) {
  if (reply.session == session_ && reply.member.vm == message.from_vm) {
    bootstrap_replies_[message.from_vm] = {reply.member, message.term,
                                           reply.has_log, now_};
    leader_hint_ = reply.leader_vm;
  }
}

bool Replica::Impl::IsActive(const Member& member) const {
  if (member.replica == id_) {
    return true;
  }
  const auto found = progress_.find(member.replica);
  return found != progress_.end() && found->second.last_contact > MonoTime() &&
         now_ - found->second.last_contact <= settings_.election_timeout;
}

bool Replica::Impl::HasRunForLeaseLength(const Member& member) const {
  if (!settings_.admission_lease) {
    return true;
  }
  if (member.replica == id_) {
    return now_ - leader_since_ >= settings_.lease_length;
  }
  const auto found = progress_.find(member.replica);
  return found != progress_.end() && found->second.first_contact.has_value() &&
         now_ - *found->second.first_contact >= settings_.lease_length;
}

bool Replica::Impl::IsCaughtUp(const Member& member) const {
  return member.replica == id_ ||
         (IsActive(member) && progress_.at(member.replica).stored >= commit_);
}

absl::Duration Replica::Impl::TimeSinceContact(const Member& member) const {
  const auto found = progress_.find(member.replica);
  if (member.replica == id_ || found == progress_.end()) {
    return absl::ZeroDuration();
  }
  return now_ - std::max(found->second.last_contact, leader_since_);
}

std::optional<Membership> Replica::Impl::WithoutReplacedReplica(
    const Membership& current) const {
  // When a VM hosts several members, only the latest of them is running.
  const auto is_replaced = [&](const Member& member) {
    return !IsActive(member) &&
           std::any_of(current.members.begin(), current.members.end(),
                       [&](const Member& m) {
                         return m.vm == member.vm && IsCaughtUp(m) &&
                                HasRunForLeaseLength(m);
                       });
  };
  for (const Member& member : current.members) {
    if (is_replaced(member)) {
      return WithoutMember(current, member.replica);
    }
  }
  return std::nullopt;
}

std::optional<Membership> Replica::Impl::WithPromotedLearner(
    const Membership& current) const {
  for (const Member& member : current.members) {
    const bool is_voter_vm =
        settings_.target_voters > 0
            ? current.VoterCount() < settings_.target_voters
            : std::find(settings_.voter_vms.begin(), settings_.voter_vms.end(),
                        member.vm) != settings_.voter_vms.end();
    const bool has_voter = std::any_of(
        current.members.begin(), current.members.end(), [&](const Member& m) {
          return m.vm == member.vm && m.kind == MemberKind::kVoter;
        });
    if (is_voter_vm && !has_voter && IsCaughtUp(member)) {
      Membership changed = current;
      FindMember(&changed, member.replica)->kind = MemberKind::kVoter;
      return changed;
    }
  }
  return std::nullopt;
}

std::optional<Membership> Replica::Impl::WithoutUnreachableMember(
    const Membership& current) const {
  if (settings_.target_voters == 0) {
    return std::nullopt;
  }
  const bool has_ready_learner = std::any_of(
      current.members.begin(), current.members.end(), [&](const Member& m) {
        return m.kind == MemberKind::kLearner && IsCaughtUp(m) &&
               HasRunForLeaseLength(m);
      });
  for (const Member& member : current.members) {
    const bool is_voter = member.kind == MemberKind::kVoter;
    const absl::Duration limit = is_voter ? settings_.replace_voter_after
                                          : settings_.remove_learner_after;
    if ((!is_voter || has_ready_learner) && TimeSinceContact(member) >= limit) {
      Membership changed = WithoutMember(current, member.replica);
      // The removed voter's process may still be running, and the leases that
      // it granted may be unexpired.
      changed.removed_grants_expired = !settings_.admission_lease;
      return changed;
    }
  }
  return std::nullopt;
}

void Replica::Impl::MembershipTick() {
  std::erase_if(join_candidates_, [&](const auto& item) {
    return now_ - item.second.received > kJoinValidity;
  });
  Membership current = log_.LatestMembership();
  current.removed_grants_expired = false;
  // A replaced replica is removed before the new one of its VM becomes a voter.
  // If both were voters, another loss of the same VM would leave two dead
  // voters.
  for (const std::optional<Membership>& changed :
       {WithoutReplacedReplica(current), WithPromotedLearner(current),
        WithoutUnreachableMember(current)}) {
    if (changed.has_value() && ChangeMembership(*changed).has_value()) {
      return;
    }
  }
  for (const auto& [vm, candidate] : join_candidates_) {
    if (current.Find(candidate.member.replica) != nullptr) {
      continue;
    }
    Membership changed = current;
    changed.members.push_back(candidate.member);
    changed.members.back().kind = MemberKind::kLearner;
    if (ChangeMembership(std::move(changed)).has_value()) {
      return;
    }
  }
}

Expected<void> Replica::Impl::ChangeMembership(Membership changed) {
  if (!HasCommittedInTerm() || log_.LatestMembershipIndex() > commit_) {
    return Fail(ErrorKind::kSettingsConflict,
                "the leader has not yet committed an entry of its own term, or "
                "the previous membership change is not committed");
  }
  const auto active = static_cast<size_t>(std::count_if(
      changed.members.begin(), changed.members.end(),
      [&](const Member& member) {
        return member.kind == MemberKind::kVoter && IsActive(member);
      }));
  if (changed.VoterCount() == 0 || active < changed.CommitQuorum()) {
    return Fail(ErrorKind::kSettingsConflict,
                "the new membership needs " +
                    std::to_string(changed.CommitQuorum()) +
                    " reachable voters, found " + std::to_string(active));
  }
  AppendAsLeader(EntryKind::kMembership, /*changes_settings=*/false,
                 changed.Encode());
  UpdateProgressSet();
  return {};
}

void Replica::Impl::Handle(const ProposeMembershipEvent& event) {
  const auto fail = [&](ErrorKind kind, const char* message) {
    actions_->push_back(
        ProposalOutcomeAction{event.proposal_id, Fail(kind, message)});
  };
  if (role_ != ReplicaRole::kLeader) {
    fail(ErrorKind::kNotLeader, "this replica is not the leader");
    return;
  }
  Membership changed = log_.LatestMembership();
  changed.removed_grants_expired = false;
  Member* member = FindMember(&changed, event.member.replica);
  switch (event.change) {
    case MembershipChange::kAddLearner:
      if (member != nullptr || event.member.replica == ReplicaId()) {
        fail(ErrorKind::kSettingsConflict,
             "the replica is already a member or its id is 0");
        return;
      }
      changed.members.push_back(event.member);
      changed.members.back().kind = MemberKind::kLearner;
      break;
    case MembershipChange::kPromote:
      if (member == nullptr || member->kind == MemberKind::kVoter) {
        fail(ErrorKind::kSettingsConflict, "the replica is not a learner");
        return;
      }
      member->kind = MemberKind::kVoter;
      break;
    case MembershipChange::kRemove:
      if (member == nullptr) {
        fail(ErrorKind::kSettingsConflict, "the replica is not a member");
        return;
      }
      std::erase_if(changed.members, [&](const Member& m) {
        return m.replica == event.member.replica;
      });
      break;
  }
  const Expected<void> result = ChangeMembership(std::move(changed));
  if (!result.has_value()) {
    actions_->push_back(ProposalOutcomeAction{
        event.proposal_id, tl::unexpected<Error>(result.error())});
    return;
  }
  proposals_.push_back({log_.last().index, event.proposal_id});
}

}  // namespace camphorsail
