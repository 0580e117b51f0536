#ifndef CAMPHORSAIL_TIMELINE_TIMELINE_CODEC_H_
#define CAMPHORSAIL_TIMELINE_TIMELINE_CODEC_H_

#include <cstddef>
#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/base/request_id_text.h"
#include "camphorsail/timeline/timeline_slice.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// @return The slice as MessagePack, for messages between daemons.
std::string EncodeTimeline(const TimelineSlice& slice);
/// @return The slice. Error: `kProtocolError`.
Expected<TimelineSlice> DecodeTimeline(const std::string& bytes);

/// @return The slice in the form of `docs/admin-api.md`. Texts may come from
/// callers; dump it with an error handler that replaces invalid UTF-8.
nlohmann::json TimelineToJson(const TimelineSlice& slice);
/// @return The slice. Error: `kProtocolError`.
Expected<TimelineSlice> TimelineFromJson(const nlohmann::json& json);

/// @return The slice as a table, one line per event, with a note on what is
/// missing.
std::string TimelineToText(const TimelineSlice& slice);

/// @return RFC 3339 in UTC with microseconds.
std::string FormatWallMicros(int64_t wall_micros);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_TIMELINE_CODEC_H_
