#include "camphorsail/base/text_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"

namespace camphorsail {
namespace {

/// @return The number of code points, which for most text is its width in
/// columns.
size_t Width(const std::string& text) {
  return static_cast<size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

}  // namespace

std::string EscapeControlCharacters(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      absl::StrAppendFormat(&escaped, "\\x%02x", byte);
    } else {
      escaped += c;
    }
  }
  return escaped;
}

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  for (std::string& cell : row) {
    cell = EscapeControlCharacters(cell);
  }
  rows_.push_back(std::move(row));
}

std::string TextTable::Render() const {
  std::vector<size_t> widths(rows_.front().size());
  for (const std::vector<std::string>& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - Width(row[i]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line;
    text += '\n';
  }
  return text;
}

}  // namespace camphorsail
