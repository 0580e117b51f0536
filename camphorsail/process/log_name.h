#ifndef CAMPHORSAIL_PROCESS_LOG_NAME_H_
#define CAMPHORSAIL_PROCESS_LOG_NAME_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "camphorsail/process/log_schema.h"

namespace camphorsail {

/// A name from a fixed list. A literal that is not in the list does not
/// compile.
///
/// @tparam kList `kLogEvents` or `kLogFields`.
template <const auto& kList>
class LogName {
 public:
  /// Implicit, so that call sites name an event or a field by a literal.
  // NOLINTNEXTLINE(google-explicit-constructor)
  consteval LogName(const char* name) : index_(IndexOf(name)) {
    if (index_ == kList.size()) {
      throw "the name is missing in log_schema.h";
    }
  }

  /// @return The entry of the list with this name, or nothing when there is
  /// none.
  static constexpr std::optional<LogName> Find(std::string_view name) {
    const size_t index = IndexOf(name);
    return index < kList.size() ? std::optional(LogName(index)) : std::nullopt;
  }

  /// @return Position in the list.
  constexpr size_t index() const { return index_; }
  constexpr const auto& spec() const { return kList[index_]; }
  constexpr std::string_view text() const { return spec().name; }

 private:
  constexpr explicit LogName(size_t index) : index_(index) {}

  static constexpr size_t IndexOf(std::string_view name) {
    size_t index = 0;
    while (index < kList.size() && kList[index].name != name) {
      ++index;
    }
    return index;
  }

  size_t index_;
};

using LogEventName = LogName<kLogEvents>;
using LogFieldName = LogName<kLogFields>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_NAME_H_
