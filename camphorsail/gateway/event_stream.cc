#include "camphorsail/gateway/event_stream.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace camphorsail {
std::string EventStream::Take(std::string_view data) {
  rest_.append(data);
  size_t taken = 0;
  size_t end = 0;
  while ((end = rest_.find('\n', scanned_)) != std::string::npos) {
    const bool is_empty =
        end == line_ || (end == line_ + 1 && rest_[line_] == '\r');
    line_ = end + 1;
    scanned_ = line_;
    // An empty line without a preceding line does not end an event, but may be
    // forwarded as if it did.
    if (is_empty) {
      ReadId(std::string_view(rest_).substr(taken, line_ - taken));
      taken = line_;
      ++count_;
    }
  }
  std::string events = rest_.substr(0, taken);
  rest_.erase(0, taken);
  line_ -= taken;
  scanned_ = rest_.size();
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
