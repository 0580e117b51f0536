#ifndef CAMPHORSAIL_LIMITS_LIMIT_TYPES_H_
#define CAMPHORSAIL_LIMITS_LIMIT_TYPES_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Duration of the lease of a share. The leader counts it from the arrival of
/// the demand report. The VM counts a shorter time from the sending of the
/// report, so that it always stops using the share before the leader grants it
/// to another VM.
constexpr absl::Duration kLimitLease = absl::Seconds(5);
/// Fraction of the lease for which the VM uses the share. The rest covers the
/// difference between the clock rates of VM and leader.
constexpr double kLimitLeaseFraction = 0.95;

/// Amounts of the three limited resources. Used for the limits of an account
/// and for a VM's demand and share.
struct LimitAmounts {
  static constexpr double kUnlimitedRate =
      std::numeric_limits<double>::infinity();
  static constexpr int64_t kUnlimitedCount =
      std::numeric_limits<int64_t>::max();

  double requests_per_s = 0;
  double tokens_per_s = 0;
  /// Requests in progress.
  int64_t concurrency = 0;

  friend bool operator==(const LimitAmounts&, const LimitAmounts&) = default;
  MSGPACK_DEFINE(requests_per_s, tokens_per_s, concurrency)
};

/// Interval between two reports of a VM's demand. A VM keeps its share when
/// several reports in a row are lost.
constexpr absl::Duration kLimitDemandInterval = absl::Milliseconds(500);

/// The demand of one VM for one account.
struct LimitDemand {
  ClientAccountId account;
  LimitAmounts demand;
  /// Number of the newest grant that the VM applied; zero when there is none.
  /// The leader no longer counts older grants.
  uint64_t held_grant = 0;
  /// Number of requests of the account that this VM has admitted and that have
  /// not ended. They count against the limit of concurrency even when the VM's
  /// share is smaller.
  int64_t in_progress = 0;

  MSGPACK_DEFINE(account, demand, held_grant, in_progress)
};

/// Demands of one VM. Accounts without limits and accounts without recent
/// requests are left out.
struct LimitDemandReport {
  VmId vm;
  /// Number of the report, increased with each report of the VM. The answer
  /// carries the same number.
  uint64_t sequence = 0;
  std::vector<LimitDemand> demands;

  MSGPACK_DEFINE(vm, sequence, demands)
};

/// Grants one VM a share of one account's limits for the duration of a lease.
struct LimitGrant {
  ClientAccountId account;
  /// Number of the grant. It increases over all leaders because the term is in
  /// the upper 24 bits.
  uint64_t grant = 0;
  LimitAmounts share;

  MSGPACK_DEFINE(account, grant, share)
};

/// The answer to a `LimitDemandReport`.
struct LimitGrantBatch {
  VmId vm;
  uint64_t report_sequence = 0;
  std::vector<LimitGrant> grants;

  MSGPACK_DEFINE(vm, report_sequence, grants)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_LIMIT_TYPES_H_
