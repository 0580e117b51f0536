#include <algorithm>
#include <optional>
#include <utility>

#include "camphorsail/consensus/replica_impl.h"

namespace camphorsail {
namespace {

/// A follower sends a tail to a lease holder only this long after the
/// confirmation became necessary, because the leader normally does so.
constexpr absl::Duration kFollowerPushDelay = absl::Milliseconds(50);

}  // namespace

void Replica::Impl::LeaseTick() {
  if (!settings_.admission_lease) {
    return;
  }
  std::vector<ReplicaMessage> messages;
  lease_holder_.Tick(now_, &messages);
  RouteLeaseMessages(std::move(messages));

  // Only the last withheld entry is looked up, because the confirmation of an
  // entry covers all entries before it.
  std::optional<LogIndex> last_index;
  const LogIndex stored =
      role_ == ReplicaRole::kLeader ? log_.last().index : StoredIndex();
  for (auto index = log_.FirstToConfirmAfter(commit_);
       index.has_value() && *index <= stored;
       index = log_.FirstToConfirmAfter(*index)) {
    last_index = index;
  }
  if (!last_index.has_value()) {
    return;
  }
  lease_grantor_.ForEachUnconfirmedHolder(
      {hard_state_.term, *last_index}, now_,
      role_ == ReplicaRole::kLeader ? absl::ZeroDuration() : kFollowerPushDelay,
      [&](const VmId& vm, uint64_t session, LogIndex committed) {
        LeaseGrant grant = MakeGrant(session, 0, committed);
        if (!grant.granted || vm == settings_.vm) {
          return;
        }
        grant.granted = false;
        SendNow(MakeMessage(vm, ReplicaId(), std::move(grant)));
      });
}

void Replica::Impl::UpdateLeaseHolder() {
  lease_holder_.SetCommitted(commit_, log_.MembershipAt(commit_));
  lease_holder_.UpdateTail(log_.TailAfter(commit_, commit_));
  std::vector<ReplicaMessage> messages;
  lease_holder_.SendConfirmations(&messages);
  RouteLeaseMessages(std::move(messages));
  // The voter on this VM reads the position of the lease holder directly
  // instead of waiting for a message.
  lease_grantor_.Confirm(
      settings_.vm,
      LeaseRequest{lease_holder_.session(), 0, true, lease_holder_.committed(),
                   lease_holder_.last_position()});
  if (lease_holder_.tail_version() != reported_tail_version_) {
    reported_tail_version_ = lease_holder_.tail_version();
    actions_->push_back(ProvisionalTailChangedAction{});
  }
}

void Replica::Impl::RouteLeaseMessages(std::vector<ReplicaMessage> messages) {
  for (ReplicaMessage& message : messages) {
    message.term = hard_state_.term;
    if (message.to_vm != settings_.vm) {
      SendNow(std::move(message));
      continue;
    }
    if (message.to != id_) {
      continue;
    }
    const auto& request = std::get<LeaseRequest>(message.body);
    if (request.confirm_only) {
      lease_grantor_.Confirm(settings_.vm, request);
      continue;
    }
    const LeaseGrant grant =
        MakeGrant(request.session, request.sequence, request.committed);
    if (grant.granted) {
      lease_grantor_.Grant(settings_.vm, request, now_);
      std::vector<ReplicaMessage> unused;
      lease_holder_.OnGrant(MakeMessage(settings_.vm, id_, grant), grant,
                            &unused);
    }
  }
}

LeaseGrant Replica::Impl::MakeGrant(uint64_t session,
                                    uint64_t sequence,
                                    LogIndex holder_committed) const {
  LeaseGrant grant;
  grant.session = session;
  grant.sequence = sequence;
  if (holder_committed < log_.base()) {
    // Entries that the holder may not have are compacted, so the tail would be
    // incomplete.
    return grant;
  }
  grant.tail = log_.TailAfter(holder_committed, commit_);
  size_t bytes = 0;
  for (const LogEntry& entry : grant.tail.entries) {
    bytes += entry.data.size();
  }
  grant.granted = grant.tail.entries.size() <= settings_.max_tail_entries &&
                  bytes <= settings_.max_tail_bytes;
  return grant;
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const LeaseRequest& request) {
  if (message.to != id_) {
    return;
  }
  if (request.confirm_only) {
    lease_grantor_.Confirm(message.from_vm, request);
    return;
  }
  LeaseGrant grant =
      MakeGrant(request.session, request.sequence, request.committed);
  if (!grant.granted) {
    return;
  }
  lease_grantor_.Grant(message.from_vm, request, now_);
  SendNow(MakeMessage(message.from_vm, message.from, std::move(grant)));
}

void Replica::Impl::OnMessage(const ReplicaMessage& message,
                              const LeaseGrant& grant) {
  std::vector<ReplicaMessage> messages;
  lease_holder_.OnGrant(message, grant, &messages);
  RouteLeaseMessages(std::move(messages));
}

}  // namespace camphorsail
