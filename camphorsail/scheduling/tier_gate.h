#ifndef CAMPHORSAIL_SCHEDULING_TIER_GATE_H_
#define CAMPHORSAIL_SCHEDULING_TIER_GATE_H_

#include <array>

#include "absl/container/btree_map.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

/// Tracks for which tiers of one pool the VMs accept requests. A VM that lacks
/// capacity for a tier marks the tier as overloaded. All VMs then close the
/// tiers below it. The VM may refuse requests of the overloaded tier only after
/// all peers have confirmed that they have closed the lower tiers. Guarded by
/// the lock of the scheduler's shard.
class TierGate {
 public:
  using TierStates = std::array<LoadDigest::TierState, kTierCount>;
  /// A peer that has sent no digest for this long is ignored.
  static constexpr absl::Duration kPeerTimeout = absl::Milliseconds(1500);

  /// Records that this VM lacks capacity for `tier` until `until`. This closes
  /// the tiers below on this VM at once, and on its peers with the next digest.
  void MarkOverloaded(Tier tier, MonoTime until, MonoTime now);
  /// @return True when this VM or a peer lacks capacity for a higher tier.
  bool IsClosed(Tier tier, MonoTime now) const;
  /// @return True when this VM lacks capacity for `tier` and each live peer has
  /// confirmed that it has closed the tiers below. Always true for the lowest
  /// tier.
  bool LowerTiersClosed(Tier tier, MonoTime now) const;
  /// @return When this VM's lack of capacity for the tiers above `tier` is
  /// expected to end.
  MonoTime ClosedUntil(Tier tier) const;

  /// @return True when the peer reports a new lack of capacity, which this VM
  /// confirms with its next digest.
  bool OnPeerState(const VmId& vm, const TierStates& states, MonoTime now);
  /// Writes this VM's `open` and `overloaded` for each tier.
  void FillStates(TierStates* states, MonoTime now) const;

 private:
  struct Peer {
    TierStates states;
    MonoTime last_digest_at;
  };

  bool IsOverloaded(int tier, MonoTime now) const;

  std::array<MonoTime, kTierCount> overloaded_until_{};
  /// Start of the current uninterrupted lack of capacity on this VM.
  std::array<MonoTime, kTierCount> overloaded_since_{};
  absl::btree_map<VmId, Peer> peers_;
  /// Until when the peers' last digests report a lack of capacity for the tier.
  std::array<MonoTime, kTierCount> peers_overloaded_until_{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_TIER_GATE_H_
