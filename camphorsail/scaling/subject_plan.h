#ifndef CAMPHORSAIL_SCALING_SUBJECT_PLAN_H_
#define CAMPHORSAIL_SCALING_SUBJECT_PLAN_H_

#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// What a planner knows about the servers of one service and tenure in one
/// failure domain.
struct SubjectPlan {
  /// The count of the plan.
  int count = 0;
  /// Servers that were present at the last step.
  int present = 0;
  /// Count of the last accepted order that was seen, and since when.
  std::optional<int> ordered;
  std::optional<MonoTime> ordered_at;
  /// When the count was last raised.
  std::optional<MonoTime> raised_at;
  /// Since when most of the planned servers have been missing.
  std::optional<MonoTime> missing_since;
  /// Until when the provider is taken to have no more such servers.
  std::optional<MonoTime> short_until;
  /// True when an order was refused after the last step.
  bool is_refused = false;
  /// True when most of the planned servers are missing although the order was
  /// sent again.
  bool is_lost = false;

  bool IsShort(MonoTime now) const {
    return short_until.has_value() && now < *short_until;
  }
  /// @return Planned servers that may still start.
  int Starting(absl::Duration settle_time, MonoTime now) const {
    return raised_at.has_value() && now - *raised_at < settle_time &&
                   count > present
               ? count - present
               : 0;
  }
  /// @return Servers that the plan can rely on.
  int Expected() const { return is_lost ? present : count; }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_SUBJECT_PLAN_H_
