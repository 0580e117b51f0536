#ifndef CAMPHORSAIL_CONSENSUS_LEASE_GRANTOR_H_
#define CAMPHORSAIL_CONSENSUS_LEASE_GRANTOR_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/consensus/lease_request.h"
#include "camphorsail/consensus/log_position.h"

namespace camphorsail {

/// The voter's side of the admission lease. Records the grants that this voter
/// has given and decides whether it may acknowledge an entry that needs
/// confirmation by lease holders.
///
/// Let t be the leader's current term. An entry at index i may be acknowledged
/// when the last position of every holder with an unexpired grant is at least
/// (t, i). The leader's term is compared instead of the entry's, because a
/// holder that had the entry in an earlier term may since have replaced its log
/// by one without it.
///
/// Owned by `Replica`. Not thread-safe.
class LeaseGrantor {
 public:
  /// @param lease_length Duration for which a grant binds this voter.
  /// @param wait_until Before this time no entry that needs confirmation may be
  ///     acknowledged, because leases that this voter granted before a restart
  ///     may be unexpired.
  LeaseGrantor(absl::Duration lease_length, MonoTime wait_until);

  /// Records a grant, which binds this voter for one lease length from `now`.
  void Grant(const VmId& vm, const LeaseRequest& request, MonoTime now);
  /// Records the last position that a holder confirms. Ignored when the holder
  /// has no grant.
  void Confirm(const VmId& vm, const LeaseRequest& request);
  /// @return True when the entry at `position` may be acknowledged. The term of
  ///     `position` is the leader's current term.
  bool MayAcknowledge(LogPosition position, MonoTime now) const;

  /// Calls `push` for each holder that has not confirmed `position` and whose
  /// next attempt is due. `push` gets the VM, the session and the commit index
  /// of the holder, and sends the holder the entries that it has to confirm.
  /// @param first_delay Delay from the first call that finds the confirmation
  ///     missing until the first attempt.
  void ForEachUnconfirmedHolder(
      LogPosition position,
      MonoTime now,
      absl::Duration first_delay,
      const std::function<void(const VmId&, uint64_t, LogIndex)>& push);

 private:
  struct GrantRecord {
    VmId vm;
    uint64_t session = 0;
    MonoTime expires;
    /// The highest commit index that the holder has reported.
    LogIndex committed;
    /// The highest last position of its effective log that the holder has
    /// reported.
    LogPosition last_position;
    /// True while a confirmation is missing. `next_push` is only valid then.
    bool confirmation_missing = false;
    MonoTime next_push;
  };

  void RemoveExpired(MonoTime now);
  GrantRecord* Find(const VmId& vm, uint64_t session);

  absl::Duration lease_length_;
  MonoTime wait_until_;
  /// One record per holder and session, because a delayed request of an earlier
  /// session must not replace the grant of the current one.
  std::vector<GrantRecord> records_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LEASE_GRANTOR_H_
