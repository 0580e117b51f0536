#ifndef CAMPHORSAIL_EXPLAIN_RENDER_STORY_H_
#define CAMPHORSAIL_EXPLAIN_RENDER_STORY_H_

#include <string>

#include "absl/time/time.h"
#include "camphorsail/explain/request_cause.h"
#include "camphorsail/explain/request_story.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// @param around Changes of belief this long before and after are shown too,
/// marked with `~`; zero shows only those that speak for the cause.
/// @return The story as text: one line an event with its time since the
/// request's first line, and the cause in the last line.
std::string RenderStory(const RequestStory& story,
                        const RequestCause& cause,
                        absl::Duration around);

/// @return The same as a JSON object with `request`, `events`, `changes`,
/// `cause` (`code`, `text`) and `dropped_lines`.
nlohmann::json StoryToJson(const RequestStory& story,
                           const RequestCause& cause,
                           absl::Duration around);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_EXPLAIN_RENDER_STORY_H_
