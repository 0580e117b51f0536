#ifndef CAMPHORSAIL_CONTROL_CONTROL_NODE_SETTINGS_H_
#define CAMPHORSAIL_CONTROL_CONTROL_NODE_SETTINGS_H_

#include "absl/time/time.h"
#include "camphorsail/accounting/minute_clock.h"
#include "camphorsail/base/error.h"
#include "camphorsail/consensus/replica_settings.h"
#include "camphorsail/duties/duty_settings.h"
#include "camphorsail/limits/limit_allocator.h"
#include "camphorsail/membership/vm_registration.h"
#include "camphorsail/orders/order_planner.h"

namespace camphorsail {

/// Settings of a `ControlNode`.
struct ControlNodeSettings {
  ReplicaSettings replica;
  /// The entry under which this process registers in the replicated state. `vm`
  /// and `incarnation` must be set; `state` and `minute` are ignored.
  VmRegistration registration;
  MinuteClockSettings minute_clock;
  OrderPlannerSettings orders;
  DutySettings duties;
  /// Time without an answer after which a command or a read is sent to the
  /// leader again.
  absl::Duration resend_interval = absl::Milliseconds(300);
  /// Time after which a command, a read or a leave that is not completed is
  /// answered with an error.
  absl::Duration submission_timeout = absl::Seconds(4);
  /// Time limit for committing a ledger batch. When an open is not committed in
  /// time, its request is refused and is not run.
  absl::Duration ledger_timeout = absl::Seconds(2);
  /// Minimum time between two accounting batches; records that arise in between
  /// are committed together.
  absl::Duration accounting_interval = absl::Milliseconds(200);
  /// Maximum number of opens, and likewise of closes, in one log entry.
  size_t max_ledger_batch = 256;
  /// Maximum number of ledger batches of this VM that wait for their result.
  size_t max_ledger_batches_in_flight = 4;

  /// Settings of the allocator by which the leader divides account limits among
  /// the VMs.
  LimitAllocatorSettings limits;

  /// @return Nothing, or `kSettingsInvalid` with the fields that may be wrong.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_CONTROL_NODE_SETTINGS_H_
