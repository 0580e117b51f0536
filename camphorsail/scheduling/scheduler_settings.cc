#include "camphorsail/scheduling/scheduler_settings.h"

#include "absl/strings/str_cat.h"

namespace camphorsail {

Expected<void> SchedulerSettings::Validate() const {
  if (vm.value().empty()) {
    return Fail(ErrorKind::kSettingsInvalid, "vm must not be empty");
  }
  if (vm_count < 1 || vm_count > 1000) {
    return Fail(ErrorKind::kSettingsInvalid,
                absl::StrCat("vm_count must be 1 to 1000, got ", vm_count));
  }
  if (candidates < 2 || candidates > 16) {
    return Fail(ErrorKind::kSettingsInvalid,
                absl::StrCat("candidates must be 2 to 16, got ", candidates));
  }
  if (!(length_quantile > 0 && length_quantile < 1)) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        absl::StrCat("length_quantile must be above 0 and below 1, got ",
                     length_quantile));
  }
  if (!(initial_seconds_per_token > 0) || !(initial_service_seconds > 0) ||
      !(initial_seconds_per_prompt_token >= 0)) {
    return Fail(
        ErrorKind::kSettingsInvalid,
        absl::StrCat("initial_seconds_per_token and "
                     "initial_service_seconds must be above 0 and "
                     "initial_seconds_per_prompt_token at least 0, got ",
                     initial_seconds_per_token, ", ", initial_service_seconds,
                     " and ", initial_seconds_per_prompt_token));
  }
  return {};
}

}  // namespace camphorsail
