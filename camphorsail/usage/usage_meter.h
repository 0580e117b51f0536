#ifndef CAMPHORSAIL_USAGE_USAGE_METER_H_
#define CAMPHORSAIL_USAGE_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/usage/late_usage.h"
#include "camphorsail/usage/usage_count.h"
#include "camphorsail/usage/usage_settings.h"

namespace camphorsail {

/// Counts the requests that begin to run at one gateway, by window and account.
/// Counts are kept until their window's report is due, so that all of them can
/// be reported again to another replica, and longer while no replica has
/// acknowledged them. Not thread-safe; used on the event loop's thread only.
class UsageMeter {
 public:
  /// Counts in one report. Keeps a poll small, on which the gateway's lease
  /// depends; the rest goes with the next polls.
  static constexpr size_t kMaxReportedCounts = 4096;

  explicit UsageMeter(const UsageSettings& settings) : settings_(settings) {}

  /// Counts a request that has begun to run.
  /// @param true_now True time, see `TrueClock`.
  void OnRequestBegun(const ClientAccountId& account, absl::Time true_now);

  /// @param token Token of the poll that carries the counts; higher than those
  /// of earlier polls.
  /// @return The counts that no answered poll has carried, of the oldest
  /// windows first.
  std::vector<UsageCount> TakeReport(uint64_t token);
  /// Records that a replica has answered a poll.
  void OnAnswered(uint64_t token);
  /// Reports all counts again from now on, because another replica or another
  /// process of it takes them.
  /// @param true_now Windows whose reports are due at this time are left out,
  /// as far as a replica has acknowledged them.
  void ReportAll(absl::Time true_now);
  /// @return True when replicas have acknowledged all counts.
  bool IsReported() const;

  /// @return The requests that were given up because there was no room.
  std::vector<LateUsage::Item> TakeDropped() { return dropped_.Take(); }

 private:
  /// Counts that are kept. More than the accounts of a deployment times the
  /// windows whose reports are not due.
  static constexpr size_t kMaxCounts = 65536;

  struct Count {
    uint64_t requests = 0;
    /// What answered polls have carried.
    uint64_t reported = 0;
    /// What polls since the one with this token have carried.
    uint64_t sent = 0;
    uint64_t sent_token = 0;
  };
  using Counts = std::map<ClientAccountId, Count>;

  /// Removes windows that are not needed any more, and the oldest ones while
  /// there are too many.
  void RemoveOldWindows(absl::Time true_now);

  const UsageSettings settings_;
  std::map<UsageWindowNumber, Counts> windows_;
  /// Sum of the sizes of `windows_`.
  size_t count_ = 0;
  LateUsage dropped_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_METER_H_
