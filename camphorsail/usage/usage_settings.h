#ifndef CAMPHORSAIL_USAGE_USAGE_SETTINGS_H_
#define CAMPHORSAIL_USAGE_USAGE_SETTINGS_H_

#include "absl/time/time.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// How usage is divided into windows and when it is reported.
struct UsageSettings {
  /// Length of a window; zero when usage is not counted.
  absl::Duration window;
  /// Time after the end of a window at which its report is due.
  absl::Duration report_delay = absl::Seconds(10);

  /// Part of `report_delay` after which a window closes. The rest is for the
  /// agreement on the report, for a failover of its sender, and for repeats.
  static constexpr double kCloseFraction = 0.4;
  /// Windows without an agreed report that replicas keep, and windows with
  /// counts that no replica has that gateways keep.
  static constexpr int64_t kMaxOldWindows = 128;

  bool IsCounted() const { return window > absl::ZeroDuration(); }
  UsageWindowNumber WindowAt(absl::Time time) const {
    absl::Duration rest;
    return UsageWindowNumber(
        absl::IDivDuration(time - absl::UnixEpoch(), window, &rest));
  }
  absl::Time EndOf(UsageWindowNumber number) const {
    return absl::UnixEpoch() + window * (number.value() + 1);
  }
  absl::Time CloseTimeOf(UsageWindowNumber number) const {
    return EndOf(number) + report_delay * kCloseFraction;
  }
  /// @return Time after which the counts of an agreed window are dropped. Until
  /// then counts that arrive late are told from repeated ones.
  absl::Time ExpiryOf(UsageWindowNumber number) const {
    return EndOf(number) + report_delay;
  }
  /// @return True for a window that no gateway can be counting in, or that is
  /// too old to be reported. One window ahead is allowed, because the clocks of
  /// gateways and replicas differ a little.
  bool IsImplausible(UsageWindowNumber number, absl::Time true_now) const {
    const int64_t current = WindowAt(true_now).value();
    return number.value() > current + 1 ||
           (ExpiryOf(number) < true_now &&
            number.value() < current - kMaxOldWindows);
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_USAGE_SETTINGS_H_
