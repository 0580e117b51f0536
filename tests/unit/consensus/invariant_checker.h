#ifndef TESTS_UNIT_CONSENSUS_INVARIANT_CHECKER_H_
#define TESTS_UNIT_CONSENSUS_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/fakes/virtual_cluster.h"

namespace camphorsail {

/// Checks the invariants of the replicated log and of the lease after every
/// step of a cluster. Records only the first violation.
class InvariantChecker {
 public:
  /// Installs the hooks of `cluster`, which must outlive the checker.
  explicit InvariantChecker(VirtualCluster* cluster);

  /// @return Description of the first violation; empty when there was none.
  const std::string& violation() const { return violation_; }
  LogIndex committed() const { return LogIndex(committed_.size()); }
  /// @return A hash of the committed log.
  uint64_t digest() const;
  /// @return True when a committed entry has this data.
  bool IsCommitted(const std::string& data) const {
    return committed_data_.contains(data);
  }

 private:
  struct CommittedEntry {
    LogPosition position;
    /// Hash of the log up to and including this entry.
    uint64_t chain = 0;
    /// Term of the first replica that applied the entry.
    TermNumber commit_term;
  };

  void ReportViolation(int node, const std::string& what);
  void AfterStep(int i, bool is_tick);
  void OnApplied(int i, const LogEntry& entry);
  void OnRestored(int i, const Snapshot& snapshot);
  void OnStarted(int i);
  void OnWrote(int i, const WriteBatch& batch);
  void OnSent(int i, const ReplicaMessage& message);
  void CheckLease(int i);
  void CheckContact(int i, bool is_tick);
  /// @return Number of other voters that node `i` has received a message from
  ///     within `window`.
  size_t CountReachableVoters(int i, absl::Duration window);

  VirtualCluster* cluster_;
  std::string violation_;
  /// Committed entries in log order; the first has index 1.
  std::vector<CommittedEntry> committed_;
  std::vector<LogPosition> committed_settings_;
  std::set<std::string> committed_data_;
  std::map<TermNumber, ReplicaId> leaders_;
  /// Candidate that each replica voted for in each term.
  std::map<std::pair<ReplicaId, TermNumber>, ReplicaId> votes_;
  /// Replicas whose disk was lost.
  std::set<ReplicaId> lost_replicas_;
  struct WrittenEntry {
    uint64_t chain = 0;
    std::set<ReplicaId> writers;
  };
  /// Hash of the log up to each entry that any replica wrote. Logs with an
  /// entry at the same position must be equal up to it. An entry is removed
  /// when all replicas that wrote it have lost their disks: the bootstrap of
  /// the group may be repeated when its first entry reached no other replica.
  std::map<LogPosition, WrittenEntry> written_;
  /// Hash of each replica's log up to each index.
  std::map<ReplicaId, std::map<LogIndex, uint64_t>> logs_;
  struct NodeState {
    uint64_t start = 0;
    ReplicaRole role = ReplicaRole::kFollower;
    int64_t leader_since = 0;
  };
  std::vector<NodeState> states_;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONSENSUS_INVARIANT_CHECKER_H_
