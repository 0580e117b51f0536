#ifndef CAMPHORSAIL_CONSENSUS_LEASE_HOLDER_H_
#define CAMPHORSAIL_CONSENSUS_LEASE_HOLDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/consensus/lease_grant.h"
#include "camphorsail/consensus/membership.h"
#include "camphorsail/consensus/replica_message.h"
#include "camphorsail/consensus/replica_settings.h"

namespace camphorsail {

/// The holder's side of the admission lease of one VM.
///
/// The effective log of the holder consists of the committed entries up to
/// `committed()` and the entries after them in the log from which the tail was
/// taken. Of the latter, the tail contains only those that need confirmation by
/// lease holders. The tail is taken from the log with the highest last position
/// among the voters that granted the lease and, through `UpdateTail`, the VM's
/// own replica. The last position never decreases, so that a confirmation sent
/// to a voter stays valid.
///
/// Also works on a VM without a replica. The state then comes in through
/// `SetCommitted`, and later committed entries through `TakeCommitted`.
///
/// Owned by `Replica`, or by the control path of a VM without one. Not
/// thread-safe.
class LeaseHolder {
 public:
  /// @param settings Only the VM and the lease settings are used.
  /// @param replica Id of the VM's replica; zero when there is none.
  /// @param session Random number that identifies this start of the process.
  LeaseHolder(const ReplicaSettings& settings,
              ReplicaId replica,
              uint64_t session);

  /// Reports that the VM's state contains every committed entry up to
  /// `committed`, and the membership at that index. A lower index than before
  /// is ignored.
  void SetCommitted(LogIndex committed, const Membership& membership);
  /// Replaces the tail by `tail` when the log that `tail` comes
  /// from is more up to date.
  /// @return False when the tail starts after `committed()`, because the
  ///     entries between may be missing.
  bool UpdateTail(const LogTail& tail);

  /// Sends the lease requests that are due.
  void Tick(MonoTime now, std::vector<ReplicaMessage>* messages);
  /// Sends confirmations to the voters when the tail has changed in a way that
  /// a voter may be waiting for.
  void SendConfirmations(std::vector<ReplicaMessage>* messages);
  /// Handles a grant, or a tail that a voter sent without a grant.
  void OnGrant(const ReplicaMessage& message,
               const LeaseGrant& grant,
               std::vector<ReplicaMessage>* messages);

  /// @return End of the lease; the origin of the clock when there is no lease.
  MonoTime ValidUntil() const;
  LogIndex committed() const { return committed_; }
  uint64_t session() const { return session_; }
  /// @return Last position of the effective log, also when that entry needs no
  ///     confirmation and is not in the tail.
  LogPosition last_position() const { return last_position_; }
  /// @return The entries after `committed()` that need confirmation by lease
  ///     holders.
  const std::vector<LogEntry>& ProvisionalEntries() const { return entries_; }
  /// @return A number that is incremented with each change of
  ///     `ProvisionalEntries`.
  uint64_t tail_version() const { return tail_version_; }

  /// For a VM without a replica. Removes the entries from the tail that a voter
  /// reported as committed, and advances `committed()` past them.
  /// @return The removed entries.
  std::vector<LogEntry> TakeCommitted();

 private:
  /// @return The latest membership in the effective log and, when there is one,
  ///     the membership before it. The lease needs a quorum of each of them.
  std::vector<Membership> EffectiveMemberships() const;
  LeaseRequest MakeRequest(bool confirm_only) const;
  void SendToVoters(const LeaseRequest& request,
                    std::vector<ReplicaMessage>* messages) const;
  ReplicaMessage MakeMessage(const VmId& vm,
                             ReplicaId replica,
                             const LeaseRequest& request) const;

  ReplicaSettings settings_;
  ReplicaId replica_;
  uint64_t session_;
  LogIndex committed_;
  /// Membership at `committed_`.
  Membership membership_;
  LogPosition last_position_;
  /// Entries after `committed_` that need confirmation by lease holders.
  std::vector<LogEntry> entries_;
  uint64_t tail_version_ = 0;
  /// Highest commit index reported with a tail, at most the last index of that
  /// tail.
  LogIndex reported_committed_;

  uint64_t sequence_ = 0;
  MonoTime next_request_;
  /// Sequence numbers and sending times of the requests that may still be
  /// answered.
  std::deque<std::pair<uint64_t, MonoTime>> unanswered_requests_;
  /// End of each voter's grant by this VM's clock.
  std::map<ReplicaId, MonoTime> grant_ends_;
  /// Term of `last_position_` and index of the last entry of the tail when
  /// `SendConfirmations` last sent confirmations.
  LogPosition confirmed_position_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_LEASE_HOLDER_H_
