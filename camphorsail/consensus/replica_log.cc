#include "camphorsail/consensus/replica_log.h"

#include <algorithm>
#include <cassert>
#include <string>

namespace camphorsail {

Expected<ReplicaLog> ReplicaLog::Create(DurableState* state) {
  ReplicaLog log;
  std::vector<LogEntry>& entries = state->entries;
  LogPosition snapshot_last;
  if (state->snapshot != nullptr) {
    snapshot_last = state->snapshot->last;
    log.Restore(std::move(state->snapshot));
  }
  if (entries.empty()) {
    return log;
  }
  const LogIndex first = entries.front().index;
  if (first > NextIndex(snapshot_last.index) ||
      entries.back().index < snapshot_last.index) {
    return Fail(ErrorKind::kDataCorrupt,
                "log entries " + std::to_string(first.value()) + " to " +
                    std::to_string(entries.back().index.value()) +
                    " do not adjoin the snapshot, which ends at index " +
                    std::to_string(snapshot_last.index.value()));
  }
  for (size_t i = 0; i < entries.size(); ++i) {
    const LogEntry& entry = entries[i];
    if (entry.index.value() != first.value() + i ||
        (entry.index == snapshot_last.index &&
         entry.term != snapshot_last.term)) {
      return Fail(ErrorKind::kDataCorrupt,
                  "log entry with term " + std::to_string(entry.term.value()) +
                      " and index " + std::to_string(entry.index.value()) +
                      " does not continue the log that starts at index " +
                      std::to_string(first.value()));
    }
    if (entry.kind == EntryKind::kMembership &&
        !Membership::Decode(entry.data).has_value()) {
      return Fail(ErrorKind::kDataCorrupt,
                  "membership entry at index " +
                      std::to_string(entry.index.value()) +
                      " cannot be decoded");
    }
  }
  size_t start = 0;
  if (first <= snapshot_last.index) {
    // The term of the entry before the first one is unknown, so the first entry
    // becomes the base.
    log.base_ = entries.front().position();
    start = 1;
  }
  for (size_t i = start; i < entries.size(); ++i) {
    log.Append(std::move(entries[i]));
  }
  entries.clear();
  return log;
}

std::optional<LogPosition> ReplicaLog::PositionAt(LogIndex index) const {
  if (index == base_.index) {
    return base_;
  }
  if (index < base_.index || index > last().index) {
    return std::nullopt;
  }
  return At(index).position();
}

const LogEntry& ReplicaLog::At(LogIndex index) const {
  assert(index > base_.index && index <= last().index);
  return entries_[index.value() - base_.index.value() - 1];
}

size_t ReplicaLog::EntriesSinceSnapshot() const {
  const uint64_t from =
      snapshot_ == nullptr ? 0 : snapshot_->last.index.value();
  return last().index.value() - from;
}

const Membership& ReplicaLog::MembershipAt(LogIndex index) const {
  auto found = memberships_.rbegin();
  while (found->first > index && std::next(found) != memberships_.rend()) {
    ++found;
  }
  return found->second;
}

std::vector<const Membership*> ReplicaLog::QuorumMemberships(
    LogIndex committed) const {
  // A membership is proposed only after the one before it is committed.
  // Memberships before the previous one are therefore not needed, even when
  // this replica does not know yet that they were replaced.
  const Membership& latest = LatestMembership();
  std::vector<const Membership*> result = {&latest};
  if (LatestMembershipIndex() > committed && memberships_.size() > 1 &&
      !latest.removed_grants_expired) {
    result.push_back(&memberships_[memberships_.size() - 2].second);
  }
  return result;
}

std::optional<LogIndex> ReplicaLog::FirstToConfirmAfter(LogIndex index) const {
  const auto found = std::upper_bound(indexes_to_confirm_.begin(),
                                      indexes_to_confirm_.end(), index);
  if (found == indexes_to_confirm_.end()) {
    return std::nullopt;
  }
  return *found;
}

LogTail ReplicaLog::TailAfter(LogIndex base, LogIndex committed) const {
  assert(base >= base_.index);
  LogTail tail{base, last(), committed, {}};
  for (auto index = FirstToConfirmAfter(base); index.has_value();
       index = FirstToConfirmAfter(*index)) {
    tail.entries.push_back(At(*index));
  }
  return tail;
}

void ReplicaLog::Append(LogEntry entry) {
  assert(entry.index == NextIndex(last().index));
  const LogIndex snapshot_index =
      snapshot_ == nullptr ? LogIndex() : snapshot_->last.index;
  if (entry.index > snapshot_index) {
    bytes_since_snapshot_ += entry.data.size();
    if (entry.kind == EntryKind::kMembership) {
      Expected<Membership> membership = Membership::Decode(entry.data);
      assert(membership.has_value());
      memberships_.emplace_back(entry.index, *std::move(membership));
    }
  }
  if (entry.needs_lease_confirmation()) {
    indexes_to_confirm_.push_back(entry.index);
  }
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex index) {
  assert(snapshot_ == nullptr || index > snapshot_->last.index);
  while (last().index >= index && !entries_.empty()) {
    bytes_since_snapshot_ -= entries_.back().data.size();
    entries_.pop_back();
  }
  while (!indexes_to_confirm_.empty() && indexes_to_confirm_.back() >= index) {
    indexes_to_confirm_.pop_back();
  }
  while (memberships_.back().first >= index) {
    memberships_.pop_back();
  }
}

void ReplicaLog::SetSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  std::vector<std::pair<LogIndex, Membership>> kept = {
      {snapshot->last.index, snapshot->membership}};
  for (auto& item : memberships_) {
    if (item.first > snapshot->last.index) {
      kept.push_back(std::move(item));
    }
  }
  memberships_ = std::move(kept);
  snapshot_ = std::move(snapshot);
}

void ReplicaLog::Compact(std::shared_ptr<const Snapshot> snapshot,
                         LogIndex first_kept) {
  assert(first_kept <= NextIndex(snapshot->last.index));
  SetSnapshot(std::move(snapshot));
  while (!entries_.empty() && entries_.front().index < first_kept) {
    base_ = entries_.front().position();
    entries_.pop_front();
  }
  while (!indexes_to_confirm_.empty() &&
         indexes_to_confirm_.front() <= base_.index) {
    indexes_to_confirm_.pop_front();
  }
  bytes_since_snapshot_ = 0;
  for (LogIndex i = NextIndex(snapshot_->last.index); i <= last().index;
       i = NextIndex(i)) {
    bytes_since_snapshot_ += At(i).data.size();
  }
}

void ReplicaLog::Restore(std::shared_ptr<const Snapshot> snapshot) {
  entries_.clear();
  indexes_to_confirm_.clear();
  memberships_ = {{}};
  base_ = snapshot->last;
  bytes_since_snapshot_ = 0;
  SetSnapshot(std::move(snapshot));
}

}  // namespace camphorsail
