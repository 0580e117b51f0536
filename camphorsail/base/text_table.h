#ifndef CAMPHORSAIL_BASE_TEXT_TABLE_H_
#define CAMPHORSAIL_BASE_TEXT_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace camphorsail {

/// A table of text for terminals, with left-aligned columns as wide as their
/// longest cell. Control characters in cells are written as escapes, so that a
/// value from outside cannot control the terminal.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// @param row Cells in the order of the header; missing ones are empty.
  void AddRow(std::vector<std::string> row);
  /// @return The header and the rows, one line each. Columns are separated by
  /// two spaces and lines have no trailing spaces.
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

/// @return `text` with control characters as C escapes.
std::string EscapeControlCharacters(std::string_view text);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_TEXT_TABLE_H_
