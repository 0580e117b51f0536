#ifndef CAMPHORSAIL_DUTIES_DUTY_INPUTS_H_
#define CAMPHORSAIL_DUTIES_DUTY_INPUTS_H_

#include <vector>

#include "absl/time/time.h"
#include "camphorsail/scaling/server_order.h"
#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// A number of servers that the provider is to run.
struct WantedServers {
  ServerOrder order;
  /// Servers of the subject that announce themselves and do not leave.
  int present = 0;
  /// Time in which the provider carries out an order. When `present` differs
  /// from an accepted order for longer, the order is sent again, because a call
  /// without an answer may have been carried out after it.
  absl::Duration settle_time;
};

/// What the holder of the duties has to do, as seen by this daemon.
struct DutyInputs {
  /// Windows that have ended, and in which no further requests are expected to
  /// be counted.
  std::vector<UsageWindow> closed_windows;
  std::vector<WantedServers> wanted_servers;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_DUTY_INPUTS_H_
