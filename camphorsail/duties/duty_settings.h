#ifndef CAMPHORSAIL_DUTIES_DUTY_SETTINGS_H_
#define CAMPHORSAIL_DUTIES_DUTY_SETTINGS_H_

#include "absl/time/time.h"

namespace camphorsail {

/// Settings of a `DutyDriver`.
struct DutySettings {
  /// The duties of the deployment.
  bool reports_usage = false;
  bool orders_servers = false;
  /// Time for which the holder may act after a quorum last confirmed it, and
  /// for which a new holder waits before it acts.
  absl::Duration lease = absl::Seconds(3);
  /// Fraction of `lease` that the holder uses. The rest allows for clocks that
  /// run at different rates.
  double lease_fraction = 0.95;
  /// True when the provider rejects calls with a stale token. It then also
  /// rejects calls of an earlier process of the holder's VM that are carried
  /// out late.
  bool provider_checks_tokens = false;
  /// Calls per second that the provider accepts from all daemons together.
  double provider_calls_per_s = 10;
  /// Time limit of a call.
  absl::Duration call_timeout = absl::Seconds(3);

  /// @return False when the deployment has no duties; the driver then does
  /// nothing.
  bool HasDuties() const { return reports_usage || orders_servers; }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_DUTY_SETTINGS_H_
