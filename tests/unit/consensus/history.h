#ifndef TESTS_UNIT_CONSENSUS_HISTORY_H_
#define TESTS_UNIT_CONSENSUS_HISTORY_H_

#include <cstdint>
#include <string>

#include "tests/fakes/virtual_cluster.h"

namespace camphorsail {

/// How the group of a history gets its voters.
enum class HistoryKind : uint8_t {
  /// All replicas are voters and are named in the settings.
  kListed,
  /// Three replicas found the group, the others join, and the leader keeps a
  /// number of voters; there are no leases.
  kDiscovered,
};

/// A seed with this bit draws the settings before the seed of the cluster,
/// which gives another history. Some findings have such seeds.
constexpr uint64_t kSettingsFirst = uint64_t{1} << 63;

/// What one random history showed.
struct HistoryResult {
  /// Empty when every invariant held.
  std::string violation;
  uint64_t committed = 0;
  uint64_t replaced_replicas = 0;
  uint64_t reads = 0;
  /// Hash over the committed log.
  uint64_t digest = 0;
};

/// Runs a cluster through random faults, heals it, and requires that it then
/// commits, repairs its membership and gives leases again.
/// @param seed Determines the history.
/// @param rules The rules in force.
HistoryResult RunHistory(uint64_t seed,
                         const VirtualRules& rules,
                         HistoryKind kind = HistoryKind::kListed);

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONSENSUS_HISTORY_H_
