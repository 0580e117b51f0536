#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_H_

#include <memory>
#include <optional>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/consensus/durable_state.h"
#include "camphorsail/consensus/log_entry.h"
#include "camphorsail/consensus/membership.h"
#include "camphorsail/consensus/replica_action.h"
#include "camphorsail/consensus/replica_event.h"
#include "camphorsail/consensus/replica_role.h"
#include "camphorsail/consensus/replica_settings.h"

namespace camphorsail {

/// One replica of the replicated log, together with the admission lease holder
/// of its VM.
///
/// Implements Raft (Ongaro 2014) with pre-vote, check-quorum, learners,
/// single-member changes and snapshots. It adds an admission lease: a VM may
/// admit requests only while it holds unexpired grants from a quorum of voters.
/// A voter with an unexpired grant acknowledges an entry that changes settings
/// or the membership only after the lease holder has confirmed that it has the
/// entry.
///
/// Owned by the control path of a VM. Not thread-safe. Does no I/O and does not
/// read the clock.
class Replica {
 public:
  /// @param settings Valid settings.
  /// @param state The state that storage recovered.
  /// @param seed Seed for election timeouts and session numbers; must differ at
  ///     each start.
  /// @param now Time of the start.
  /// @return The replica; `kSettingsInvalid`; or `kDataCorrupt` when the
  ///     recovered state is inconsistent.
  static Expected<std::unique_ptr<Replica>> Create(ReplicaSettings settings,
                                                   DurableState state,
                                                   uint64_t seed,
                                                   MonoTime now);
  ~Replica();

  /// Handles one event.
  /// @param event The event.
  /// @param now Time of the event; must not be before the time of the previous
  ///     call.
  /// @param actions The resulting actions are appended here, in the order in
  ///     which they must be carried out.
  void Step(const ReplicaEvent& event,
            MonoTime now,
            std::vector<ReplicaAction>* actions);

  ReplicaId id() const;
  ReplicaRole role() const;
  TermNumber term() const;
  /// @return VM of the leader of the current term; empty when unknown.
  VmId LeaderHint() const;
  LogIndex CommitIndex() const;
  LogPosition LastPosition() const;
  /// @return The latest membership in the log, committed or not.
  const Membership& CurrentMembership() const;
  /// @return True once the replica knows of a committed entry. A replica that
  ///     has not joined the group has none.
  bool HasCommittedEntry() const;

  /// @return End of the admission lease. The VM may admit requests only before
  ///     this time.
  MonoTime LeaseValidUntil() const;
  /// @return Sending time of the latest messages that a commit quorum has
  ///     answered, which is the last time at which this leader was confirmed.
  ///     `std::nullopt` unless this replica leads and has committed an entry of
  ///     its term.
  std::optional<MonoTime> QuorumContact() const;
  /// @return The entries after `CommitIndex` that change settings. They may be
  ///     committed already, so admission must apply them on top of the applied
  ///     state.
  std::vector<LogEntry> ProvisionalTail() const;

 private:
  class Impl;
  explicit Replica(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_H_
