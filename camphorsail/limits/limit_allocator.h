#ifndef CAMPHORSAIL_LIMITS_LIMIT_ALLOCATOR_H_
#define CAMPHORSAIL_LIMITS_LIMIT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/limits/limit_types.h"

namespace camphorsail {

/// Parameters of a `LimitAllocator`.
struct LimitAllocatorSettings {
  /// How long a granted share counts, from the arrival of the demand report.
  absl::Duration lease = kLimitLease;
  /// How long a new leader waits before it grants, because VMs may still use
  /// shares that its predecessor granted.
  absl::Duration new_leader_wait = kLimitLease;
  /// The leader grants only while its last contact with a quorum is more recent
  /// than this. At most the shortest election timeout, so that no successor is
  /// elected while an isolated leader still grants.
  absl::Duration quorum_contact_limit = absl::Milliseconds(500);
  /// Fraction of each limit that is divided evenly whatever the demand, so that
  /// the first requests on an idle VM need not wait for a report.
  double even_fraction = 0.05;
};

/// Divides the limits of accounts among the VMs. At any time, the shares that
/// VMs may hold add up to at most the limit: a grant counts until its lease
/// ends, or until the VM reports that it holds a later one. Exists only on the
/// leader; not replicated and not thread-safe.
class LimitAllocator {
 public:
  /// @param settings Parameters.
  /// @param term The leader's term.
  /// @param elected_at When the leader was elected, on its monotonic clock.
  LimitAllocator(const LimitAllocatorSettings& settings,
                 TermNumber term,
                 MonoTime elected_at);

  /// Sets the limits in force. A lowered limit may take one lease to become
  /// effective, because granted shares cannot be revoked.
  /// @param limits Limits of the accounts that have any.
  void SetLimits(std::map<ClientAccountId, LimitAmounts> limits);

  /// Records the demands of a VM and grants shares.
  /// @param report The demands of one VM.
  /// @param now The leader's monotonic time.
  /// @param quorum_contact When a quorum last confirmed the leader.
  /// @return A grant for each limited account of the report; none while a new
  /// leader waits or without recent quorum contact.
  LimitGrantBatch OnDemand(const LimitDemandReport& report,
                           MonoTime now,
                           MonoTime quorum_contact);

  /// Frees the shares of a VM that stopped gracefully and sends nothing more.
  void Release(const VmId& vm);

 private:
  /// A grant that a VM may hold.
  struct OutstandingGrant {
    uint64_t grant = 0;
    LimitAmounts share;
    MonoTime expires;
  };
  /// The last report and the outstanding grants of one VM for one account. The
  /// VM may have reported a demand only and hold no grant.
  struct Holder {
    LimitAmounts demand;
    MonoTime reported_at;
    /// Number of requests that the VM has admitted and that have not ended.
    int64_t in_progress = 0;
    std::vector<OutstandingGrant> outstanding;
  };
  using Holders = std::map<VmId, Holder>;

  /// Drops grants whose lease has ended, and VMs without outstanding grants
  /// that have not reported for one lease.
  void DropExpired(Holders* holders, MonoTime now) const;
  /// @return The amounts that are left for the VM when each other VM holds the
  /// largest share that it may have.
  LimitAmounts GrantableAmounts(const Holders& holders,
                                const VmId& vm,
                                const LimitAmounts& limit) const;
  /// @return The VM's share of the limit according to the demands of all VMs.
  LimitAmounts TargetShare(const Holders& holders,
                           const VmId& vm,
                           const LimitAmounts& limit) const;

  LimitAllocatorSettings settings_;
  /// No grant is made before this time.
  MonoTime first_grant_at_;
  /// Number of the next grant: the leader's term in the upper 24 bits.
  uint64_t next_grant_;
  std::map<ClientAccountId, LimitAmounts> limits_;
  std::map<ClientAccountId, Holders> accounts_;
};

/// Divides an amount among parties by max-min fairness: no party gets more than
/// it demands while another gets less than it demands. What is left when all
/// demands are met is divided evenly.
/// @param amount The amount to divide.
/// @param demands The demand of each party, not negative.
/// @return The part of each party; the parts add up to `amount`.
std::vector<double> DivideByDemand(double amount,
                                   const std::vector<double>& demands);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_LIMIT_ALLOCATOR_H_
