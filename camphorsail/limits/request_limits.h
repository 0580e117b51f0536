#ifndef CAMPHORSAIL_LIMITS_REQUEST_LIMITS_H_
#define CAMPHORSAIL_LIMITS_REQUEST_LIMITS_H_

#include <cstdint>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/limits/limit_share.h"
#include "camphorsail/limits/limit_types.h"

namespace camphorsail {

/// One VM's shares of the limits of all accounts. The shards of the request
/// path (see `EntryShard`) check requests against them; the code that talks to
/// the leader reports demand and applies grants. Checks never wait for the
/// leader. Thread-safe; its lock is taken after a shard's lock, and no other
/// lock is taken while it is held. Must not be called for accounts without
/// limits, so that such accounts cost nothing.
class RequestLimits {
 public:
  /// Whether a request is checked for the first time or again after `kWait`.
  enum class Try : uint8_t { kFirst, kAgain };
  enum class AdmitResult : uint8_t {
    kAdmitted,
    /// The first share of the account has not arrived or is too small yet. The
    /// request must be checked again with `Try::kAgain`.
    kWait,
  };

  /// Checks a request against the share of its account.
  /// @param attempt Whether the same request has been checked before.
  /// @return The result, or `kAccountLimitExceeded` with the time after which
  ///     a retry can succeed. `kWait` is returned only during one demand
  ///     interval from the account's first request on this VM or from its first
  ///     request after one lease without requests. It is not returned when the
  ///     requests in progress use up the share of concurrency.
  Expected<AdmitResult> Admit(const ClientAccountId& account,
                              Try attempt,
                              MonoTime now);
  /// Charges output tokens of an admitted request.
  void ChargeTokens(const ClientAccountId& account,
                    Tokens tokens,
                    MonoTime now);
  /// Ends an admitted request. Must be called once for each
  /// `AdmitResult::kAdmitted`.
  void Release(const ClientAccountId& account, MonoTime now);

  /// @return The demands to report now; empty when no report is due. A report
  ///     is due every demand interval, and at once after an account's first
  ///     request.
  std::vector<LimitDemand> PollDemand(MonoTime now);
  /// Applies grants; see `LimitShare::OnGrant`.
  void OnGrants(const std::vector<LimitGrant>& grants,
                MonoTime report_sent_at,
                MonoTime now);

  /// @return Number of the account's requests that are admitted and have not
  ///     ended.
  int64_t InProgress(const ClientAccountId& account) const;

 private:
  struct Entry {
    LimitShare share;
    MonoTime last_request;
    /// Until when requests wait for the first share.
    MonoTime wait_until;
    MonoTime reported_at;
    /// True when the first request of the account, or its first request after
    /// one lease without requests, has not been reported yet.
    bool report_due = false;
    /// Mean output tokens per request; used as the demand of a refused request.
    double mean_tokens = 0;
    /// Tokens charged and requests ended since `mean_tokens` was last updated.
    int64_t charged_tokens = 0;
    int64_t ended_requests = 0;
  };

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<ClientAccountId, Entry> accounts_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_report_ ABSL_GUARDED_BY(mutex_);
  bool first_report_due_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_REQUEST_LIMITS_H_
