#ifndef CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_
#define CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_

#include <string_view>

namespace camphorsail {

/// One field of the closed list of log fields.
struct LogFieldSpec {
  /// In snake_case, with the unit where there is one.
  std::string_view name;
  std::string_view meaning;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_
