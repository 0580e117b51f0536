#ifndef CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_
#define CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/usage/late_usage.h"
#include "camphorsail/usage/usage_count.h"
#include "camphorsail/usage/usage_settings.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// The usage that gateways have reported to one replica, directly or through
/// other replicas. Counts are kept by gateway process and merged by maximum, so
/// that a repeated, late or forwarded report counts once. Not thread-safe.
class UsageCollector {
 public:
  /// Counts in one message to the leader.
  static constexpr size_t kMaxForwardedCounts = 16384;
  /// Counts that are kept. Covers a window in which each of 410 gateways has
  /// requests of each of 1,100 accounts, and the beginning of the next one.
  static constexpr size_t kMaxCounts = 600'000;

  explicit UsageCollector(const UsageSettings& settings)
      : settings_(settings) {}

  /// Takes the counts of a gateway process.
  void Merge(const GatewayUsage& usage, absl::Time true_now);

  /// @return The oldest changes that no replica has acknowledged.
  UsageForward UnacknowledgedChanges(TermNumber term) const;
  /// Records that the changes up to this one need not be forwarded.
  void OnAcknowledged(uint64_t sequence);
  /// Forwards all counts again, because another replica takes them.
  void ForwardAll();
  /// Records that this replica is the one that takes them.
  void ForwardNothing() { unacknowledged_.clear(); }

  /// @param agreed Windows whose reports are fixed.
  /// @return The sums of the windows that have closed and are not agreed,
  /// oldest first. The sum of a window stays the same until `ReopenWindows`.
  std::vector<UsageWindow> ClosedWindows(
      absl::Time true_now,
      const std::set<UsageWindowNumber>& agreed);
  /// Computes the sums again when they are asked for, because this replica has
  /// just become the leader.
  void ReopenWindows();
  /// Removes the counts of windows that are not needed any more.
  void RemoveOldWindows(absl::Time true_now,
                        const std::set<UsageWindowNumber>& agreed);
  /// @return The requests that have arrived since the last call and that no
  /// report will contain.
  std::vector<LateUsage::Item> TakeLate() { return late_.Take(); }

 private:
  /// A gateway process.
  using Source = std::pair<VmId, uint64_t>;
  struct Key {
    UsageWindowNumber window;
    /// Index in `sources_`.
    uint32_t source = 0;
    ClientAccountId account;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Count {
    uint64_t requests = 0;
    /// Position of the latest change in the order of all changes.
    uint64_t sequence = 0;
  };
  using Counts = std::map<Key, Count>;
  struct Window {
    bool is_agreed = false;
    bool is_closed = false;
    /// Set when this replica closes the window before a report is agreed.
    std::optional<UsageWindow> sum;
  };
  using Windows = std::map<UsageWindowNumber, Window>;

  /// @return The first count of a window or of a later one.
  Counts::iterator FirstOf(UsageWindowNumber number) {
    return counts_.lower_bound(Key{number, 0, ClientAccountId()});
  }
  uint32_t IndexOf(const Source& source);
  UsageWindow SumOf(UsageWindowNumber number);
  /// Removes a window with its counts.
  Windows::iterator Remove(Windows::iterator window);
  /// @return True when there is room for one more count. Agreed windows are
  /// removed to make room.
  bool MakeRoom();

  const UsageSettings settings_;
  Windows windows_;
  Counts counts_;
  std::map<Source, uint32_t> source_indexes_;
  std::map<uint32_t, Source> sources_;
  uint32_t next_source_ = 0;
  /// Changes that have to be forwarded, in their order.
  std::map<uint64_t, Counts::iterator> unacknowledged_;
  uint64_t last_sequence_ = 0;
  /// Latest window that was removed.
  UsageWindowNumber removed_through_;
  LateUsage late_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_COLLECTOR_H_
