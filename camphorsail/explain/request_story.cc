#include "camphorsail/explain/request_story.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorsail {
namespace {

bool IsEarlier(const LogLine& a, const LogLine& b) {
  return a.clock < b.clock;
}

/// Lines about single requests that never got an id, which change no belief.
bool IsAboutAnotherCaller(const LogLine& line) {
  return line.event == "bad_request" || line.event == "caller_turned_away";
}

}  // namespace

void RequestStory::Take(std::string_view text) {
  std::optional<LogLine> line = ParseLogLine(text);
  if (!line) {
    return;
  }
  if (const std::string* request = line->Find("request")) {
    if (*request == request_) {
      lines_.push_back(*std::move(line));
    }
    return;
  }
  if (line->event == "log_lines_dropped") {
    dropped_lines_ += static_cast<uint64_t>(line->Number("lines").value_or(0));
  }
  if (!IsAboutAnotherCaller(*line)) {
    changes_.push_back(*std::move(line));
  }
}

void RequestStory::Finish() {
  std::stable_sort(lines_.begin(), lines_.end(), IsEarlier);
  std::stable_sort(changes_.begin(), changes_.end(), IsEarlier);
}

std::vector<const LogLine*> RequestStory::ChangesAround(
    absl::Duration around) const {
  if (lines_.empty()) {
    return {};
  }
  const int64_t micros = absl::ToInt64Microseconds(around);
  return Changes("", "", lines_.front().clock.wall_micros - micros,
                 lines_.back().clock.wall_micros + micros);
}

std::vector<const LogLine*> RequestStory::Changes(std::string_view vm,
                                                  std::string_view event,
                                                  int64_t from_micros,
                                                  int64_t to_micros) const {
  std::vector<const LogLine*> found;
  for (const LogLine& line : changes_) {
    if (line.clock.wall_micros >= from_micros &&
        line.clock.wall_micros <= to_micros && (vm.empty() || line.vm == vm) &&
        (event.empty() || line.event == event)) {
      found.push_back(&line);
    }
  }
  return found;
}

}  // namespace camphorsail
