#include "camphorsail/control/control_node_settings.h"

namespace camphorsail {

Expected<void> ControlNodeSettings::Validate() const {
  if (Expected<void> valid = replica.Validate(); !valid) {
    return valid;
  }
  if (registration.vm != replica.vm) {
    return Fail(ErrorKind::kSettingsInvalid,
                "registration.vm must be equal to replica.vm");
  }
  for (absl::Duration duration : {resend_interval, submission_timeout,
                                  ledger_timeout, accounting_interval}) {
    if (duration <= absl::ZeroDuration()) {
      return Fail(ErrorKind::kSettingsInvalid,
                  "resend_interval, submission_timeout, ledger_timeout and "
                  "accounting_interval must be above 0");
    }
  }
  if (max_ledger_batch == 0 || max_ledger_batches_in_flight == 0) {
    return Fail(ErrorKind::kSettingsInvalid,
                "max_ledger_batch and max_ledger_batches_in_flight must be "
                "above 0");
  }
  if (duties.HasDuties() && (duties.lease <= absl::ZeroDuration() ||
                             duties.provider_calls_per_s <= 0)) {
    return Fail(ErrorKind::kSettingsInvalid,
                "duties.lease and duties.provider_calls_per_s must be above 0");
  }
  return {};
}

}  // namespace camphorsail
