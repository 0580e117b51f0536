#ifndef CAMPHORSAIL_PLACEMENT_RECENT_STARTS_H_
#define CAMPHORSAIL_PLACEMENT_RECENT_STARTS_H_

#include <array>
#include <optional>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/urgency.h"

namespace camphorsail {

/// When a request of each urgency was last sent to a server of one service.
/// Shows whether less urgent work is admitted while more urgent work is
/// refused. Not thread-safe.
class RecentStarts {
 public:
  /// Time for which a start counts as recent.
  static constexpr absl::Duration kPeriod = absl::Seconds(5);

  void OnStarted(Urgency urgency, MonoTime now) {
    started_at_[urgency.value()] = now;
  }
  /// @return The least urgent of the recent starts; nothing when there are
  /// none.
  std::optional<Urgency> LeastUrgent(MonoTime now) const {
    for (int level = kUrgencyLevels - 1; level >= 0; --level) {
      if (started_at_[level].has_value() &&
          now - *started_at_[level] < kPeriod) {
        return Urgency(level);
      }
    }
    return std::nullopt;
  }

 private:
  std::array<std::optional<MonoTime>, kUrgencyLevels> started_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_RECENT_STARTS_H_
