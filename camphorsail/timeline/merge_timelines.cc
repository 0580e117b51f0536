#include "camphorsail/timeline/merge_timelines.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace camphorsail {

TimelineSlice MergeTimelines(std::vector<TimelineSlice> slices,
                             const TimelineFilter& filter,
                             size_t limit) {
  TimelineSlice merged;
  for (TimelineSlice& slice : slices) {
    merged.overwritten += slice.overwritten;
    merged.complete_after =
        std::max(merged.complete_after, slice.complete_after);
    merged.truncated = merged.truncated || slice.truncated;
    std::copy_if(
        std::make_move_iterator(slice.events.begin()),
        std::make_move_iterator(slice.events.end()),
        std::back_inserter(merged.events),
        [&](const TimelineEvent& event) { return filter.Matches(event); });
  }
  std::stable_sort(merged.events.begin(), merged.events.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) {
                     return std::tie(a.time, a.vm) < std::tie(b.time, b.vm);
                   });
  merged.events.erase(std::unique(merged.events.begin(), merged.events.end()),
                      merged.events.end());
  if (merged.events.size() > limit) {
    merged.truncated = true;
    merged.events.erase(merged.events.begin(),
                        merged.events.end() - static_cast<ptrdiff_t>(limit));
  }
  return merged;
}

}  // namespace camphorsail
