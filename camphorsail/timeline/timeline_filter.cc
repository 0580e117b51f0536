#include "camphorsail/timeline/timeline_filter.h"

namespace camphorsail {

bool TimelineFilter::Matches(const TimelineEvent& event) const {
  const absl::Time time = absl::FromUnixMicros(event.time.wall_micros);
  return (!request || *request == event.request) &&
         (!account || *account == event.account) &&
         (!server || *server == event.server) &&
         (!kind || *kind == event.kind) && time >= from && time < to;
}

}  // namespace camphorsail
