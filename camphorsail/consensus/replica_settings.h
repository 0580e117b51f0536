#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Settings of the replicated log on one VM. Lease length and clock margin must
/// be equal on all VMs.
struct ReplicaSettings {
  VmId vm;
  FailureDomainId failure_domain;
  /// VMs whose replicas are voters. They take part in the first start, a fresh
  /// replica asks them to join, and a replica of any other VM stays a learner.
  std::vector<VmId> voter_vms;
  /// False on a VM that may only join a group: its disk may be new while the
  /// group that it belongs to runs elsewhere.
  bool may_found_group = true;
  /// Voters that the leader keeps, from whichever VMs have joined; zero when
  /// the voters are the replicas of `voter_vms`.
  size_t target_voters = 0;
  /// With `target_voters`, a voter that was silent for this long is replaced
  /// when a learner is ready to take its place.
  absl::Duration replace_voter_after = absl::Seconds(3);
  /// With `target_voters`, a learner that was silent for this long is removed.
  absl::Duration forget_learner_after = absl::Seconds(30);
  /// False where no replica admits requests: leases are neither asked for nor
  /// waited for.
  bool admission_lease = true;
  absl::Duration heartbeat_interval = absl::Milliseconds(150);
  /// A follower starts an election after one to two times this without a
  /// leader; a leader without a quorum steps down after it.
  absl::Duration election_timeout = absl::Milliseconds(600);
  /// How long a grant binds the voter.
  absl::Duration lease_length = absl::Seconds(2);
  /// Part of `lease_length` that the holder leaves unused, because clocks of
  /// two VMs may run at different rates; in [0, 0.5].
  double lease_clock_margin = 0.05;
  absl::Duration lease_renewal_interval = absl::Milliseconds(500);
  /// Bound on the tail in a grant. A longer tail gives no grant.
  size_t max_tail_entries = 256;
  size_t max_tail_bytes = 1 << 20;
  /// Bound on the entries of one append message.
  size_t max_append_bytes = 256 << 10;
  /// Append messages to one follower that may be unanswered.
  size_t max_inflight_appends = 8;
  size_t snapshot_chunk_bytes = 256 << 10;
  /// A snapshot is requested after this many entries or bytes since the last.
  size_t snapshot_after_entries = 10'000;
  size_t snapshot_after_bytes = 16 << 20;
  /// Entries kept behind a snapshot for followers that lag.
  size_t retained_entries = 1'000;
  /// Proposals beyond this many uncommitted entries are refused.
  size_t max_uncommitted_entries = 10'000;

  /// @return Nothing, or `kSettingsInvalid` naming the field.
  Expected<void> Validate() const;

  /// @return How long a lease is valid from the sending time of its request.
  absl::Duration HolderLeaseLength() const {
    return lease_length * (1.0 - lease_clock_margin);
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_
