#include "camphorsail/explain/render_story.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "camphorsail/base/text_table.h"
#include "camphorsail/process/log_event.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

using nlohmann::json;

/// A line of the story, and whether it is one of the request.
struct StoryLine {
  const LogLine* line = nullptr;
  bool is_own = false;
};

std::vector<StoryLine> Merge(const RequestStory& story,
                             const RequestCause& cause,
                             absl::Duration around) {
  std::vector<StoryLine> all;
  for (const LogLine& line : story.lines()) {
    all.push_back({&line, true});
  }
  std::vector<const LogLine*> changes;
  if (around > absl::ZeroDuration()) {
    changes = story.ChangesAround(around);
  }
  changes.insert(changes.end(), cause.evidence.begin(), cause.evidence.end());
  for (const LogLine* line : changes) {
    const bool known =
        std::any_of(all.begin(), all.end(),
                    [&](const StoryLine& other) { return other.line == line; });
    if (!known) {
      all.push_back({line, false});
    }
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return a.line->clock < b.line->clock;
                   });
  return all;
}

double SinceFirst(const RequestStory& story, const LogLine& line) {
  return story.lines().empty()
             ? 0
             : static_cast<double>(line.clock.wall_micros -
                                   story.lines().front().clock.wall_micros) /
                   1000;
}

json LineToJson(const RequestStory& story, const LogLine& line) {
  json fields = json::object();
  for (const auto& [name, value] : line.fields) {
    fields[name] = value;
  }
  return {
      {"clock", absl::StrCat(line.clock.wall_micros, ".", line.clock.counter)},
      {"since_first_ms", SinceFirst(story, line)},
      {"vm", line.vm},
      {"event", line.event},
      {"fields", std::move(fields)}};
}

}  // namespace

std::string RenderStory(const RequestStory& story,
                        const RequestCause& cause,
                        absl::Duration around) {
  std::string text =
      absl::StrCat("request ", EscapeControlCharacters(story.request()), "\n");
  for (const StoryLine& entry : Merge(story, cause, around)) {
    absl::StrAppendFormat(
        &text, "%s %+9.1f ms  %s  %s", entry.is_own ? " " : "~",
        SinceFirst(story, *entry.line), EscapeControlCharacters(entry.line->vm),
        EscapeControlCharacters(entry.line->event));
    for (const auto& [name, value] : entry.line->fields) {
      if (name != "request") {
        absl::StrAppend(&text, " ", EscapeControlCharacters(name), "=",
                        QuoteLogValue(value));
      }
    }
    text += '\n';
  }
  absl::StrAppend(&text, "cause: ", cause.code, ": ",
                  EscapeControlCharacters(cause.text), "\n");
  return text;
}

json StoryToJson(const RequestStory& story,
                 const RequestCause& cause,
                 absl::Duration around) {
  json events = json::array();
  json changes = json::array();
  for (const StoryLine& entry : Merge(story, cause, around)) {
    (entry.is_own ? events : changes).push_back(LineToJson(story, *entry.line));
  }
  return {{"request", story.request()},
          {"events", std::move(events)},
          {"changes", std::move(changes)},
          {"cause", {{"code", cause.code}, {"text", cause.text}}},
          {"dropped_lines", story.dropped_lines()}};
}

}  // namespace camphorsail
