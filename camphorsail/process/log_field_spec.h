#ifndef CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_
#define CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_

#include <string_view>

namespace camphorsail {

/// One entry of the list of log fields, `kLogFields`.
struct LogFieldSpec {
  /// Name in snake_case, with the unit if the value has one.
  std::string_view name;
  std::string_view meaning;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_FIELD_SPEC_H_
