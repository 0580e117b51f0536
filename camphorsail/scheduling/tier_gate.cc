#include "camphorsail/scheduling/tier_gate.h"

#include <algorithm>

namespace camphorsail {

void TierGate::MarkOverloaded(Tier tier, MonoTime until, MonoTime now) {
  const int t = tier.value();
  if (overloaded_until_[t] < now) {
    overloaded_since_[t] = now;
  }
  overloaded_until_[t] = std::max(overloaded_until_[t], until);
}

bool TierGate::IsOverloaded(int tier, MonoTime now) const {
  return overloaded_until_[tier] >= now || peers_overloaded_until_[tier] > now;
}

bool TierGate::IsClosed(Tier tier, MonoTime now) const {
  for (int t = 0; t < tier.value(); ++t) {
    if (IsOverloaded(t, now)) {
      return true;
    }
  }
  return false;
}

bool TierGate::LowerTiersClosed(Tier tier, MonoTime now) const {
  const int t = tier.value();
  if (t == kTierCount - 1) {
    return true;
  }
  if (overloaded_until_[t] < now) {
    return false;
  }
  for (const auto& [vm, peer] : peers_) {
    if (now - peer.last_digest_at >= kPeerTimeout) {
      continue;
    }
    // An older digest may describe tiers that were closed for an earlier lack
    // of capacity and are open again.
    if (peer.last_digest_at <= overloaded_since_[t]) {
      return false;
    }
    for (int lower = t + 1; lower < kTierCount; ++lower) {
      if (peer.states[lower].open) {
        return false;
      }
    }
  }
  return true;
}

MonoTime TierGate::ClosedUntil(Tier tier) const {
  MonoTime until;
  for (int t = 0; t < tier.value(); ++t) {
    until = std::max(until, overloaded_until_[t]);
  }
  return until;
}

bool TierGate::OnPeerState(const VmId& vm,
                           const TierStates& states,
                           MonoTime now) {
  Peer& known = peers_[vm];
  bool new_overload = false;
  for (int t = 0; t < kTierCount; ++t) {
    new_overload |= states[t].overloaded && !known.states[t].overloaded;
  }
  known = {states, now};
  // The maximum over the peers is kept so that the cost of a decision does not
  // depend on the number of peers.
  for (int t = 0; t < kTierCount; ++t) {
    peers_overloaded_until_[t] = MonoTime();
    for (const auto& [id, peer] : peers_) {
      if (peer.states[t].overloaded) {
        peers_overloaded_until_[t] = std::max(
            peers_overloaded_until_[t], peer.last_digest_at + kPeerTimeout);
      }
    }
  }
  return new_overload;
}

void TierGate::FillStates(TierStates* states, MonoTime now) const {
  for (uint8_t t = 0; t < kTierCount; ++t) {
    (*states)[t].open = !IsClosed(Tier(t), now);
    (*states)[t].overloaded = overloaded_until_[t] >= now;
  }
}

}  // namespace camphorsail
