#ifndef CAMPHORSAIL_LIMITS_LIMIT_SHARE_H_
#define CAMPHORSAIL_LIMITS_LIMIT_SHARE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/limits/limit_types.h"
#include "camphorsail/limits/token_bucket.h"

namespace camphorsail {

/// One VM's share of one account's limits. Without a valid lease the share is
/// zero. Owned by `RequestLimits` and used under its lock.
class LimitShare {
 public:
  /// Applies a grant. Grants that arrive out of order are ignored.
  /// @param grant The grant.
  /// @param report_sent_at When this VM sent the report that the grant answers.
  /// The lease starts at this time.
  /// @param now This VM's monotonic time.
  void OnGrant(const LimitGrant& grant, MonoTime report_sent_at, MonoTime now);

  /// Counts a request as demand and admits it if the share allows it.
  /// @param estimate Tokens that the request is expected to produce.
  /// @return `kAccountLimitExceeded` with the time after which a retry can
  /// succeed under the present share.
  Expected<void> CountAndAdmit(Tokens estimate, MonoTime now);

  /// Counts a request as demand without admitting it.
  /// @param estimate Tokens that the request is expected to produce.
  void CountRequest(Tokens estimate);
  /// Counts as demand the tokens and the concurrency that a refused request
  /// would have used.
  /// @param estimate Tokens that the request was expected to produce.
  /// @param now This VM's monotonic time.
  void CountRefusal(Tokens estimate, MonoTime now);
  /// Admits a request if the share allows it, like `CountAndAdmit`, but does
  /// not count it as demand.
  Expected<void> Admit(Tokens estimate, MonoTime now);

  /// Takes the tokens of an admitted request from the bucket as they are
  /// produced. The level of the bucket may become negative; no request is
  /// admitted until it has refilled.
  void ChargeTokens(Tokens tokens, MonoTime now);

  /// Ends an admitted request.
  /// @param estimate The estimate with which the request was admitted.
  /// @param actual Tokens that the request produced and that `ChargeTokens` has
  /// not taken yet.
  /// @param now This VM's monotonic time.
  void Finish(Tokens estimate, Tokens actual, MonoTime now);

  /// @return The demand since the last call, including refused requests.
  LimitAmounts TakeDemand(MonoTime now);

  /// @return Number of requests that are admitted and have not ended.
  int64_t in_progress() const { return in_progress_; }
  /// @return True while the lease of the share lasts.
  bool IsValid(MonoTime now) const { return now < lease_end_; }
  /// @return Number of the newest grant applied; zero when there is none.
  uint64_t held_grant() const { return held_grant_; }
  /// @return The share; zero when the lease has ended.
  LimitAmounts Share(MonoTime now) const;

 private:
  uint64_t held_grant_ = 0;
  LimitAmounts share_;
  /// The share is zero from this time on.
  MonoTime lease_end_;
  TokenBucket requests_;
  TokenBucket tokens_;
  int64_t in_progress_ = 0;
  /// Demand since `demand_from_`.
  double demanded_requests_ = 0;
  double demanded_tokens_ = 0;
  int64_t refused_concurrency_ = 0;
  MonoTime demand_from_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_LIMIT_SHARE_H_
