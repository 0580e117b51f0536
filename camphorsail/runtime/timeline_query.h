#ifndef CAMPHORSAIL_RUNTIME_TIMELINE_QUERY_H_
#define CAMPHORSAIL_RUNTIME_TIMELINE_QUERY_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/timeline/timeline_filter.h"

namespace camphorsail {

/// A timeline query or the answer to one, as sent between daemons.
struct TimelineQueryMessage {
  uint64_t query = 0;
  bool is_answer = false;
  /// The encoded slice; used in answers only.
  std::string slice;
  /// The filter; used in queries only. Zero or an empty string selects all.
  uint64_t limit = 0;
  uint64_t request = 0;
  std::string account;
  std::string server;
  std::string kind;
  int64_t from_micros = 0;
  int64_t to_micros = 0;

  MSGPACK_DEFINE(query,
                 is_answer,
                 slice,
                 limit,
                 request,
                 account,
                 server,
                 kind,
                 from_micros,
                 to_micros)
};

/// @return The query with the filter's fields.
TimelineQueryMessage MakeTimelineQuery(const TimelineFilter& filter);

/// @return The filter of a query.
TimelineFilter MakeTimelineFilter(const TimelineQueryMessage& message);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_TIMELINE_QUERY_H_
