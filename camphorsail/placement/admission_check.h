#ifndef CAMPHORSAIL_PLACEMENT_ADMISSION_CHECK_H_
#define CAMPHORSAIL_PLACEMENT_ADMISSION_CHECK_H_

#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/account_shares.h"

namespace camphorsail {

/// The inputs of a decision to refuse a request because of overload, for the
/// log.
struct AdmissionCheck {
  /// The best server, with the estimated requests of all gateways on it.
  BackendServerId server;
  double load = 0;
  int slots = 0;
  /// Estimated time until the server has read the prompts that it has.
  absl::Duration backlog;
  /// Expected time to the start of the answer, and the longest time with which
  /// the request would have been admitted.
  absl::Duration expected;
  absl::Duration limit;
  /// Number of servers that were compared.
  int candidates = 0;
  /// Least urgent request of the service that any gateway has sent to a server
  /// recently, see `AdmissionGate`.
  std::optional<Urgency> least_urgent_start;
  /// Time after which the request would have been admitted if no other came.
  absl::Duration time_until_room;
  /// The account's work and share; nothing when accounts are not told apart.
  std::optional<AccountShares::Standing> standing;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ADMISSION_CHECK_H_
