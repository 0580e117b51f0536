#ifndef CAMPHORSAIL_TIMELINE_TIMELINE_FILTER_H_
#define CAMPHORSAIL_TIMELINE_TIMELINE_FILTER_H_

#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/timeline/timeline_event.h"

namespace camphorsail {

/// Selects events; an absent field selects all.
struct TimelineFilter {
  std::optional<RequestId> request;
  std::optional<ClientAccountId> account;
  std::optional<BackendServerId> server;
  std::optional<TimelineKind> kind;
  /// Inclusive start and exclusive end of the wall time, to the microsecond.
  absl::Time from = absl::InfinitePast();
  absl::Time to = absl::InfiniteFuture();

  /// @return True when the event is selected.
  bool Matches(const TimelineEvent& event) const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_TIMELINE_FILTER_H_
