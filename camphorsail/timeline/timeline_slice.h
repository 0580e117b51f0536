#ifndef CAMPHORSAIL_TIMELINE_TIMELINE_SLICE_H_
#define CAMPHORSAIL_TIMELINE_TIMELINE_SLICE_H_

#include <cstdint>
#include <vector>

#include "camphorsail/base/hybrid_clock.h"
#include "camphorsail/timeline/timeline_event.h"

namespace camphorsail {

/// Events of one or several VMs, with what is missing from them.
struct TimelineSlice {
  /// In an order that is consistent with cause.
  std::vector<TimelineEvent> events;
  /// Events of these VMs that were overwritten before the query.
  uint64_t overwritten = 0;
  /// All events after this time are present, unless `truncated`; zero when none
  /// was overwritten.
  HybridTimestamp complete_after;
  /// True when the newest matching events were kept and older ones left out,
  /// because of the query's limit.
  bool truncated = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_TIMELINE_SLICE_H_
