#ifndef CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_REPORTER_H_
#define CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_REPORTER_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/placement/service_account_work.h"

namespace camphorsail {

/// Tells one receiver, message by message, the work of the accounts at a
/// service. Each message carries the accounts whose work has changed most since
/// the receiver was told. Not thread-safe.
class AccountWorkReporter {
 public:
  /// Time after which an account is sent again although its work has not
  /// changed, because a message may be lost.
  static constexpr absl::Duration kRefreshInterval = absl::Seconds(8);

  /// @param work The work of all accounts.
  /// @param max_accounts Most accounts in the message.
  /// @return The next message.
  ServiceAccountWork Next(ServiceAccountWork work,
                          size_t max_accounts,
                          MonoTime now);

 private:
  struct Told {
    UrgencyCounts work;
    MonoTime at;
  };

  bool has_told_ = false;
  absl::flat_hash_map<AccountHash, Told> told_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_REPORTER_H_
