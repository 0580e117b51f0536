#include "tests/unit/consensus/invariant_checker.h"

#include <algorithm>

namespace camphorsail {
namespace {

// Windows of virtual time in which a candidate must have heard from a quorum
// before its election, and a leader while it leads. They are two election
// timeouts and one, plus two ticks and the drift of the clocks.
constexpr absl::Duration kPreVoteWindow = absl::Milliseconds(1300);
constexpr absl::Duration kLeaderWindow = absl::Milliseconds(700);

}  // namespace

InvariantChecker::InvariantChecker(VirtualCluster* cluster)
    : cluster_(cluster), states_(static_cast<size_t>(cluster->size())) {
  cluster->hooks.after_step = [this](int i, bool is_tick) {
    AfterStep(i, is_tick);
  };
  cluster->hooks.applied = [this](int i, const LogEntry& entry) {
    OnApplied(i, entry);
  };
  cluster->hooks.restored = [this](int i, const Snapshot& snapshot) {
    OnRestored(i, snapshot);
  };
  cluster->hooks.wrote = [this](int i, const WriteBatch& batch) {
    OnWrote(i, batch);
  };
  cluster->hooks.sent = [this](int i, const ReplicaMessage& message) {
    OnSent(i, message);
  };
  cluster->hooks.started = [this](int i) { OnStarted(i); };
  cluster->hooks.disk_lost = [this](int, ReplicaId id) {
    lost_replicas_.insert(id);
    logs_.erase(id);
    for (auto item = written_.begin(); item != written_.end();) {
      item->second.writers.erase(id);
      item =
          item->second.writers.empty() ? written_.erase(item) : std::next(item);
    }
  };
}

uint64_t InvariantChecker::digest() const {
  return committed_.empty() ? 0 : committed_.back().chain;
}

void InvariantChecker::ReportViolation(int node, const std::string& what) {
  if (violation_.empty()) {
    violation_ = cluster_->node(node).vm.value() + " at " +
                 std::to_string(cluster_->now() / 1'000'000) + " ms: " + what;
  }
}

void InvariantChecker::AfterStep(int i, bool is_tick) {
  const VirtualCluster::Node& node = cluster_->node(i);
  if (node.replica != nullptr) {
    const Replica& replica = *node.replica;
    NodeState& state = states_[static_cast<size_t>(i)];
    if (state.start != node.start) {
      state = NodeState{node.start, ReplicaRole::kFollower, 0};
    }
    if (replica.role() == ReplicaRole::kLeader) {
      const auto [leader, first] =
          leaders_.try_emplace(replica.term(), replica.id());
      if (leader->second != replica.id()) {
        ReportViolation(i, "second leader of one term");
      }
      if (state.role != ReplicaRole::kLeader) {
        state.leader_since = cluster_->now();
        // A candidate may still win the election of an earlier term with a late
        // vote. It must have the entries committed before that term.
        const auto committed_before = std::count_if(
            committed_.begin(), committed_.end(), [&](const auto& entry) {
              return entry.commit_term < replica.term();
            });
        if (replica.LastPosition().index.value() <
            static_cast<uint64_t>(committed_before)) {
          ReportViolation(i, "the leader's log lacks a committed entry");
        }
      }
    }
    CheckContact(i, is_tick);
    state.role = replica.role();
  }
  CheckLease(i);
}

size_t InvariantChecker::CountReachableVoters(int i, absl::Duration window) {
  const VirtualCluster::Node& node = cluster_->node(i);
  const int64_t oldest = cluster_->now() - absl::ToInt64Nanoseconds(window);
  size_t count = 0;
  for (const Member& member : node.replica->CurrentMembership().members) {
    if (member.kind != MemberKind::kVoter ||
        member.replica == node.replica->id()) {
      continue;
    }
    count += std::any_of(node.heard.begin(), node.heard.end(),
                         [&](const auto& heard) {
                           return cluster_->node(heard.first).vm == member.vm &&
                                  heard.second >= oldest;
                         })
                 ? 1
                 : 0;
  }
  return count;
}

void InvariantChecker::CheckContact(int i, bool is_tick) {
  const VirtualCluster::Node& node = cluster_->node(i);
  const Replica& replica = *node.replica;
  const NodeState& state = states_[static_cast<size_t>(i)];
  const size_t needed = replica.CurrentMembership().CommitQuorum();
  if (replica.role() == ReplicaRole::kCandidate &&
      state.role != ReplicaRole::kCandidate &&
      CountReachableVoters(i, kPreVoteWindow) + 1 < needed) {
    ReportViolation(i, "started a term without contact to a quorum");
  }
  const absl::Duration led =
      absl::Nanoseconds(cluster_->now() - state.leader_since);
  // After a freeze a process may handle messages before its next tick, so
  // leaders are only checked after ticks.
  if (is_tick && replica.role() == ReplicaRole::kLeader &&
      state.role == ReplicaRole::kLeader && led > kLeaderWindow &&
      CountReachableVoters(i, kLeaderWindow) + 1 < needed) {
    ReportViolation(i, "leads without contact to a quorum");
  }
}

void InvariantChecker::CheckLease(int i) {
  if (committed_settings_.empty() || !cluster_->HasLease(i)) {
    return;
  }
  const LogIndex applied = cluster_->node(i).applied;
  if (committed_settings_.back().index <= applied) {
    return;
  }
  const std::vector<LogEntry> tail = cluster_->Tail(i);
  for (auto settings = committed_settings_.rbegin();
       settings != committed_settings_.rend() && settings->index > applied;
       ++settings) {
    if (std::none_of(tail.begin(), tail.end(), [&](const LogEntry& entry) {
          return entry.position() == *settings;
        })) {
      ReportViolation(i, "valid lease without the committed settings entry " +
                             std::to_string(settings->index.value()));
      return;
    }
  }
}

void InvariantChecker::OnApplied(int i, const LogEntry& entry) {
  const uint64_t chain = cluster_->node(i).chain;
  const uint64_t index = entry.index.value();
  if (index <= committed_.size()) {
    if (committed_[index - 1].chain != chain) {
      ReportViolation(
          i, "applied an entry other than the committed one at index " +
                 std::to_string(index));
    }
    return;
  }
  if (index != committed_.size() + 1) {
    ReportViolation(i, "applied with a gap at index " + std::to_string(index));
    return;
  }
  committed_.push_back(
      {entry.position(), chain, cluster_->node(i).replica->term()});
  if (entry.kind == EntryKind::kData) {
    committed_data_.insert(entry.data);
  }
  if (entry.changes_settings) {
    committed_settings_.push_back(entry.position());
    for (int j = 0; j < cluster_->size(); ++j) {
      // The node that applies the entry has it, although its step is not
      // finished.
      if (j != i) {
        CheckLease(j);
      }
    }
  }
}

void InvariantChecker::OnRestored(int i, const Snapshot& snapshot) {
  const uint64_t index = snapshot.last.index.value();
  if (index > committed_.size() ||
      committed_[index - 1].position != snapshot.last ||
      std::to_string(committed_[index - 1].chain) != snapshot.data) {
    ReportViolation(i,
                    "the restored snapshot does not match the committed log");
  }
}

void InvariantChecker::OnStarted(int i) {
  const VirtualCluster::Disk& disk = cluster_->node(i).disk;
  if (cluster_->node(i).replica == nullptr) {
    return;
  }
  // A write that was interrupted by the crash is not part of the log.
  std::map<LogIndex, uint64_t>& log = logs_[disk.replica];
  log.clear();
  for (const LogEntry& entry : disk.entries) {
    log[entry.index] = written_.at(entry.position()).chain;
  }
  if (disk.snapshot != nullptr) {
    log[disk.snapshot->last.index] = std::stoull(disk.snapshot->data);
  }
}

void InvariantChecker::OnWrote(int i, const WriteBatch& batch) {
  const ReplicaId id = cluster_->node(i).replica->id();
  std::map<LogIndex, uint64_t>& log = logs_[id];
  if (batch.snapshot != nullptr) {
    // The virtual cluster stores the hash of the log up to the snapshot's last
    // index as the snapshot's data.
    log[batch.snapshot->last.index] = std::stoull(batch.snapshot->data);
  }
  for (const LogEntry& entry : batch.entries) {
    uint64_t chain = 0;
    if (entry.index > LogIndex(1)) {
      const auto previous = log.find(PreviousIndex(entry.index));
      if (previous == log.end()) {
        ReportViolation(i, "wrote a log with a gap");
        return;
      }
      chain = previous->second;
    }
    chain = VirtualCluster::Chain(chain, entry);
    log[entry.index] = chain;
    const auto [known, first] =
        written_.try_emplace(entry.position(), WrittenEntry{chain, {}});
    known->second.writers.insert(id);
    if (known->second.chain != chain) {
      ReportViolation(
          i, "logs with an entry at the same position differ up to it");
    }
  }
}

void InvariantChecker::OnSent(int i, const ReplicaMessage& message) {
  const auto* reply = std::get_if<VoteReply>(&message.body);
  if (reply == nullptr || !reply->granted || reply->pre_vote) {
    return;
  }
  if (lost_replicas_.contains(message.from)) {
    ReportViolation(i, "vote of a replica that lost its state");
  }
  const auto [vote, first] =
      votes_.try_emplace({message.from, reply->request_term}, message.to);
  if (vote->second != message.to) {
    ReportViolation(i, "second vote in one term");
  }
}

}  // namespace camphorsail
