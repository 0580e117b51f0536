#include "camphorsail/gateway/event_stream.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace camphorsail {
namespace {

/// @return Length of the first complete event in `text`, including the empty
/// line that ends it; 0 when there is none.
size_t EventLength(std::string_view text) {
  size_t line = 0;
  while (line < text.size()) {
    const size_t end = text.find('\n', line);
    if (end == std::string_view::npos) {
      return 0;
    }
    const bool is_empty =
        end == line || (end == line + 1 && text[line] == '\r');
    // An empty line without a preceding line does not end an event, but may be
    // forwarded as if it did.
    if (is_empty) {
      return end + 1;
    }
    line = end + 1;
  }
  return 0;
}

}  // namespace

std::string EventStream::Take(std::string_view data) {
  rest_.append(data);
  size_t taken = 0;
  const std::string_view text = rest_;
  while (const size_t length = EventLength(text.substr(taken))) {
    ReadId(text.substr(taken, length));
    taken += length;
    ++count_;
  }
  std::string events = rest_.substr(0, taken);
  rest_.erase(0, taken);
  return events;
}

void EventStream::ReadId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t line = 0;
  while (line < event.size()) {
    const size_t end = std::min(event.find('\n', line), event.size());
    const std::string_view text = event.substr(line, end - line);
    uint64_t id = 0;
    if (text.starts_with(kField) &&
        absl::SimpleAtoi(
            absl::StripAsciiWhitespace(absl::string_view(
                text.data() + kField.size(), text.size() - kField.size())),
            &id)) {
      last_id_ = id;
    }
    line = end + 1;
  }
}

}  // namespace camphorsail
