#ifndef CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_
#define CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Settings of the replicated log on one VM. `lease_length` and
/// `lease_clock_margin` must be equal on all VMs.
struct ReplicaSettings {
  VmId vm;
  FailureDomainId failure_domain;
  /// VMs that bootstrap the group together. A replica that is not a member yet
  /// sends them its join requests. Without `target_voters` their replicas are
  /// the voters, and a replica of any other VM stays a learner.
  std::vector<VmId> voter_vms;
  /// False on a VM that may only join an existing group, because its disk may
  /// be new while its group runs on other VMs.
  bool may_bootstrap_group = true;
  /// Number of voters that the leader maintains, chosen from all VMs that have
  /// joined. Zero when the voters are the replicas of `voter_vms`.
  size_t target_voters = 0;
  /// With `target_voters`: a voter without contact to the leader for this long
  /// is replaced when a learner is ready to take its place.
  absl::Duration replace_voter_after = absl::Seconds(3);
  /// With `target_voters`: a learner without contact to the leader for this
  /// long is removed.
  absl::Duration remove_learner_after = absl::Seconds(30);
  /// False when the VMs of this group do not admit requests. Replicas then
  /// neither request leases nor wait for confirmations by lease holders.
  bool admission_lease = true;
  absl::Duration heartbeat_interval = absl::Milliseconds(150);
  /// A follower without contact to a leader starts an election after one to two
  /// times this duration. A leader without contact to a quorum steps down after
  /// this duration.
  absl::Duration election_timeout = absl::Milliseconds(600);
  /// Duration for which a voter is bound by a grant.
  absl::Duration lease_length = absl::Seconds(2);
  /// Fraction of `lease_length` that the holder does not use, because the
  /// clocks of two VMs may run at different rates; in [0, 0.5].
  double lease_clock_margin = 0.05;
  absl::Duration lease_renewal_interval = absl::Milliseconds(500);
  /// Limits on the tail in a grant. A voter gives no grant when its tail
  /// exceeds one of them.
  size_t max_tail_entries = 256;
  size_t max_tail_bytes = 1 << 20;
  /// Limit on the entry data in one append message. A message may exceed it by
  /// one entry.
  size_t max_append_bytes = 256 << 10;
  /// Maximum number of unanswered append messages to one follower.
  size_t max_inflight_appends = 8;
  size_t snapshot_chunk_bytes = 256 << 10;
  /// A snapshot is requested after this many entries or bytes since the last
  /// one.
  size_t snapshot_after_entries = 10'000;
  size_t snapshot_after_bytes = 16 << 20;
  /// Number of entries before a snapshot that are kept for followers that lag.
  size_t retained_entries = 1'000;
  /// Proposals are refused while this many entries are uncommitted.
  size_t max_uncommitted_entries = 10'000;

  /// @return Success, or `kSettingsInvalid` with the name of the invalid field.
  Expected<void> Validate() const;

  /// @return Duration for which a lease is valid, from the time at which its
  ///     request was sent.
  absl::Duration HolderLeaseLength() const {
    return lease_length * (1.0 - lease_clock_margin);
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONSENSUS_REPLICA_SETTINGS_H_
