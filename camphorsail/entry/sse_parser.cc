#include "camphorsail/entry/sse_parser.h"

namespace camphorsail {
namespace {

// Reads one line that ends in LF or CR LF.
bool ReadLine(std::string_view text, size_t* position, std::string_view* line) {
  const size_t end = text.find('\n', *position);
  if (end == std::string_view::npos) {
    return false;
  }
  *line = text.substr(*position, end - *position);
  if (!line->empty() && line->back() == '\r') {
    line->remove_suffix(1);
  }
  *position = end + 1;
  return true;
}

}  // namespace

bool SseParser::Append(std::string_view bytes) {
  if (offset_ > 0) {
    buffer_.erase(0, offset_);
    offset_ = 0;
  }
  if (buffer_.size() > kMaxEventBytes) {
    return false;
  }
  buffer_.append(bytes);
  return true;
}

std::optional<std::string> SseParser::Next() {
  size_t position = offset_;
  std::string data;
  bool has_data = false;
  std::string_view line;
  while (ReadLine(buffer_, &position, &line)) {
    if (line.empty()) {
      offset_ = position;
      if (has_data) {
        return data;
      }
      continue;
    }
    if (line.substr(0, 5) == "data:") {
      line.remove_prefix(5);
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      if (has_data) {
        data.push_back('\n');
      }
      data.append(line);
      has_data = true;
    }
  }
  return std::nullopt;
}

}  // namespace camphorsail
