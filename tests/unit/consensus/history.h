#ifndef TESTS_UNIT_CONSENSUS_HISTORY_H_
#define TESTS_UNIT_CONSENSUS_HISTORY_H_

#include <cstdint>
#include <string>

#include "tests/fakes/virtual_cluster.h"

namespace camphorsail {

/// How the voters of the group are determined in a history.
enum class HistoryKind : uint8_t {
  /// All replicas are voters and are listed in the settings.
  kListedVoters,
  /// Three replicas bootstrap the group, the others join it, and the leader
  /// maintains a target number of voters. There are no leases.
  kDiscoveredVoters,
};

/// In a seed with this bit, the settings are drawn before the seed of the
/// cluster. Both orders are kept, so that seeds that once found a fault can be
/// run again.
constexpr uint64_t kDrawSettingsFirst = uint64_t{1} << 63;

/// Result of one random history.
struct HistoryResult {
  /// Description of the first violated invariant; empty when all of them held.
  std::string violation;
  /// Number of committed entries.
  uint64_t committed = 0;
  /// Number of lost disks.
  uint64_t replaced_replicas = 0;
  /// Number of reads that were answered and checked.
  uint64_t reads = 0;
  /// Hash of the committed log.
  uint64_t digest = 0;
};

/// Runs a history: a cluster with random faults and proposals. Then ends all
/// faults and requires that the cluster commits an entry, restores its
/// membership and, when it uses leases, gives leases again.
/// @param seed Determines the whole history.
/// @param rules The protocol rules that are enabled.
HistoryResult RunHistory(uint64_t seed,
                         const VirtualRules& rules,
                         HistoryKind kind = HistoryKind::kListedVoters);

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONSENSUS_HISTORY_H_
