#ifndef CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_
#define CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/usage/usage_count.h"
#include "camphorsail/usage/usage_settings.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// The usage that gateways have reported to one replica, directly or through
/// other replicas. Counts are kept by gateway process and merged by maximum, so
/// that a repeated, late or forwarded report counts once. Not thread-safe.
class UsageCollector {
 public:
  /// A count that arrived after its window was closed.
  struct LateCount {
    UsageWindowNumber window;
    ClientAccountId account;
    uint64_t requests = 0;
  };

  explicit UsageCollector(const UsageSettings& settings)
      : settings_(settings) {}

  /// Takes the counts of a gateway process.
  void Merge(const GatewayUsage& usage, MonoTime now);

  /// @return The counts that changed within `kForwardTime`, for the replica
  /// that reports usage. They are forwarded more than once, because a message
  /// may be lost with its connection.
  std::vector<GatewayUsage> RecentChanges(MonoTime now) const;
  /// @return All counts, for a replica that has none.
  std::vector<GatewayUsage> AllCounts() const;

  /// @return The sums of the windows that have closed, oldest first.
  std::vector<UsageWindow> ClosedWindows(absl::Time true_now);
  /// @return The counts that have arrived since the last call for windows that
  /// `ClosedWindows` had returned.
  std::vector<LateCount> TakeLateCounts() { return std::exchange(late_, {}); }

 private:
  /// Time for which a change is forwarded.
  static constexpr absl::Duration kForwardTime = absl::Seconds(2);
  /// Windows that are kept.
  static constexpr size_t kMaxWindows = 16;

  struct Count {
    uint64_t requests = 0;
    MonoTime changed_at;
  };
  /// A gateway process.
  using Source = std::pair<VmId, uint64_t>;
  using Counts = std::map<Source, std::map<ClientAccountId, Count>>;
  struct Window {
    Counts counts;
    bool is_closed = false;
  };

  /// @return The counts for which `is_wanted` returns true.
  template <typename Predicate>
  std::vector<GatewayUsage> Select(const Predicate& is_wanted) const;

  const UsageSettings settings_;
  std::map<UsageWindowNumber, Window> windows_;
  std::vector<LateCount> late_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_
