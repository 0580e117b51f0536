#include "camphorsail/consensus/lease_holder.h"

#include <algorithm>
#include <functional>
#include <set>

namespace camphorsail {

LeaseHolder::LeaseHolder(const ReplicaSettings& settings,
                         ReplicaId replica,
                         uint64_t session)
    : settings_(settings), replica_(replica), session_(session) {}

void LeaseHolder::SetCommitted(LogIndex committed,
                               const Membership& membership) {
  const bool unchanged = committed == committed_ && committed_ > LogIndex();
  if (committed < committed_ || unchanged) {
    return;
  }
  committed_ = committed;
  membership_ = membership;
  const size_t removed = std::erase_if(entries_, [&](const LogEntry& entry) {
    return entry.index <= committed_;
  });
  tail_version_ += removed > 0 ? 1 : 0;
}

bool LeaseHolder::UpdateTail(const LogTail& tail) {
  if (tail.base > committed_) {
    return false;
  }
  if (tail.last < last_position_) {
    return true;
  }
  reported_committed_ =
      std::max(reported_committed_, std::min(tail.committed, tail.last.index));
  if (tail.last == last_position_) {
    return true;
  }
  last_position_ = tail.last;
  std::vector<LogEntry> entries;
  for (const LogEntry& entry : tail.entries) {
    if (entry.index > committed_) {
      entries.push_back(entry);
    }
  }
  if (entries != entries_) {
    entries_ = std::move(entries);
    ++tail_version_;
  }
  return true;
}

void LeaseHolder::Tick(MonoTime now, std::vector<ReplicaMessage>* messages) {
  if (now < next_request_) {
    return;
  }
  next_request_ = now + settings_.lease_renewal_interval;
  ++sequence_;
  unanswered_requests_.emplace_back(sequence_, now);
  while (now - unanswered_requests_.front().second > settings_.lease_length) {
    unanswered_requests_.pop_front();
  }
  std::erase_if(grant_ends_,
                [&](const auto& item) { return item.second <= now; });
  SendToVoters(MakeRequest(/*confirm_only=*/false), messages);
}

void LeaseHolder::SendConfirmations(std::vector<ReplicaMessage>* messages) {
  if (entries_.empty()) {
    return;
  }
  const LogPosition position{last_position_.term, entries_.back().index};
  if (position == confirmed_position_) {
    return;
  }
  confirmed_position_ = position;
  SendToVoters(MakeRequest(/*confirm_only=*/true), messages);
}

void LeaseHolder::OnGrant(const ReplicaMessage& message,
                          const LeaseGrant& grant,
                          std::vector<ReplicaMessage>* messages) {
  if (grant.session != session_) {
    return;
  }
  if (!UpdateTail(grant.tail)) {
    return;
  }
  if (!grant.granted) {
    // The voter is waiting for this confirmation. An earlier one may have been
    // lost.
    messages->push_back(MakeMessage(message.from_vm, message.from,
                                    MakeRequest(/*confirm_only=*/true)));
    return;
  }
  const auto sent = std::find_if(
      unanswered_requests_.begin(), unanswered_requests_.end(),
      [&](const auto& item) { return item.first == grant.sequence; });
  if (sent == unanswered_requests_.end()) {
    return;
  }
  MonoTime& until = grant_ends_[message.from];
  until = std::max(until, sent->second + settings_.HolderLeaseLength());
}

MonoTime LeaseHolder::ValidUntil() const {
  MonoTime result = MonoTime::Infinite();
  for (const Membership& membership : EffectiveMemberships()) {
    std::vector<MonoTime> until;
    for (const auto& [replica, time] : grant_ends_) {
      if (membership.IsVoter(replica)) {
        until.push_back(time);
      }
    }
    const size_t needed = membership.LeaseQuorum();
    if (membership.VoterCount() == 0 || until.size() < needed) {
      return MonoTime();
    }
    std::sort(until.begin(), until.end(), std::greater<>());
    result = std::min(result, until[needed - 1]);
  }
  return result;
}

std::vector<LogEntry> LeaseHolder::TakeCommitted() {
  std::vector<LogEntry> taken;
  if (reported_committed_ <= committed_) {
    return taken;
  }
  const auto end = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const LogEntry& e) { return e.index > reported_committed_; });
  taken.assign(entries_.begin(), end);
  Membership membership = membership_;
  for (const LogEntry& entry : taken) {
    if (entry.kind == EntryKind::kMembership) {
      membership = Membership::Decode(entry.data).value_or(membership);
    }
  }
  SetCommitted(reported_committed_, membership);
  return taken;
}

std::vector<Membership> LeaseHolder::EffectiveMemberships() const {
  // Only the last membership may be uncommitted, because a membership is
  // proposed only after the one before it is committed.
  Membership previous;
  Membership latest = membership_;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembership) {
      previous = std::move(latest);
      // A malformed membership becomes one without voters, which gives no
      // lease.
      latest = Membership::Decode(entry.data).value_or(Membership());
    }
  }
  std::vector<Membership> result = {std::move(latest)};
  // There is no membership before the first one of the group.
  if (previous.VoterCount() > 0) {
    result.push_back(std::move(previous));
  }
  return result;
}

LeaseRequest LeaseHolder::MakeRequest(bool confirm_only) const {
  return LeaseRequest{session_, sequence_, confirm_only, committed_,
                      last_position_};
}

void LeaseHolder::SendToVoters(const LeaseRequest& request,
                               std::vector<ReplicaMessage>* messages) const {
  std::set<ReplicaId> done;
  for (const Membership& membership : EffectiveMemberships()) {
    for (const Member& member : membership.members) {
      if (member.kind == MemberKind::kVoter &&
          done.insert(member.replica).second) {
        messages->push_back(MakeMessage(member.vm, member.replica, request));
      }
    }
  }
}

ReplicaMessage LeaseHolder::MakeMessage(const VmId& vm,
                                        ReplicaId replica,
                                        const LeaseRequest& request) const {
  return ReplicaMessage{settings_.vm, replica_, vm, replica, {}, request};
}

}  // namespace camphorsail
