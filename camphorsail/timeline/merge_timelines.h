#ifndef CAMPHORSAIL_TIMELINE_MERGE_TIMELINES_H_
#define CAMPHORSAIL_TIMELINE_MERGE_TIMELINES_H_

#include <cstddef>
#include <vector>

#include "camphorsail/timeline/timeline_filter.h"
#include "camphorsail/timeline/timeline_slice.h"

namespace camphorsail {

/// Merges the slices of several VMs. The order is that of the hybrid
/// timestamps and then of the VM ids, so an event that caused another, directly
/// or through messages, comes first whatever the VMs' wall clocks show.
///
/// @param slices In any order; each event's timestamp is the only one of its
/// VM. An event that several slices contain appears once.
/// @param limit Largest number of events; the newest are kept.
TimelineSlice MergeTimelines(std::vector<TimelineSlice> slices,
                             const TimelineFilter& filter,
                             size_t limit);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_MERGE_TIMELINES_H_
