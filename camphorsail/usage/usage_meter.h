#ifndef CAMPHORSAIL_USAGE_USAGE_METER_H_
#define CAMPHORSAIL_USAGE_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/usage/usage_count.h"
#include "camphorsail/usage/usage_settings.h"

namespace camphorsail {

/// Counts the requests that begin to run at one gateway, by window and account.
/// The counts of the latest windows are kept, so that all of them can be
/// reported again to another replica. Not thread-safe; used on the event loop's
/// thread only.
class UsageMeter {
 public:
  explicit UsageMeter(const UsageSettings& settings) : settings_(settings) {}

  /// Counts a request that has begun to run.
  /// @param true_now True time, see `TrueClock`.
  void OnRequestBegun(const ClientAccountId& account, absl::Time true_now);

  /// @param token Token of the poll that carries the counts.
  /// @return The counts that no answered poll has carried.
  std::vector<UsageCount> TakeReport(uint64_t token);
  /// Records that a replica has answered a poll.
  void OnAnswered(uint64_t token);
  /// Reports all counts again from now on, because another replica takes them.
  void ReportAll();

  /// @return Requests that were not counted because too many accounts had
  /// requests in the same window.
  uint64_t dropped() const { return dropped_; }

 private:
  /// More windows than the delay of a report spans, so that a gateway that was
  /// out of touch can report what it counted meanwhile.
  static constexpr size_t kMaxWindows = 16;
  static constexpr size_t kMaxAccounts = 16384;

  struct Count {
    uint64_t requests = 0;
    /// What answered polls have carried.
    uint64_t reported = 0;
    /// What the poll with this token, the latest one, has carried.
    uint64_t sent = 0;
    uint64_t sent_token = 0;
  };
  using Counts = std::map<ClientAccountId, Count>;

  const UsageSettings settings_;
  std::map<UsageWindowNumber, Counts> windows_;
  uint64_t dropped_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_METER_H_
