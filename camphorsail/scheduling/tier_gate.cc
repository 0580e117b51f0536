#include "camphorsail/scheduling/tier_gate.h"

#include <algorithm>

namespace camphorsail {

void TierGate::Press(Tier tier, MonoTime until, MonoTime now) {
  const int t = tier.value();
  if (pressed_until_[t] < now) {
    pressed_since_[t] = now;
  }
  pressed_until_[t] = std::max(pressed_until_[t], until);
}

bool TierGate::IsPressed(int tier, MonoTime now) const {
  return pressed_until_[tier] >= now || peers_pressed_until_[tier] > now;
}

bool TierGate::IsClosed(Tier tier, MonoTime now) const {
  for (int t = 0; t < tier.value(); ++t) {
    if (IsPressed(t, now)) {
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
  if (pressed_until_[t] < now) {
    return false;
  }
  for (const auto& [vm, peer] : peers_) {
    if (now - peer.heard_at >= kPeerTimeout) {
      continue;
    }
    // An older digest may describe tiers that were closed for an earlier lack
    // of capacity and are open again.
    if (peer.heard_at <= pressed_since_[t]) {
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
    until = std::max(until, pressed_until_[t]);
  }
  return until;
}

bool TierGate::OnPeerState(const VmId& vm,
                           const TierStates& states,
                           MonoTime now) {
  Peer& known = peers_[vm];
  bool new_pressure = false;
  for (int t = 0; t < kTierCount; ++t) {
    new_pressure |= states[t].pressed && !known.states[t].pressed;
  }
  known = {states, now};
  // The maximum over the peers is kept so that the cost of a decision does not
  // depend on the number of peers.
  for (int t = 0; t < kTierCount; ++t) {
    peers_pressed_until_[t] = MonoTime();
    for (const auto& [id, peer] : peers_) {
      if (peer.states[t].pressed) {
        peers_pressed_until_[t] =
            std::max(peers_pressed_until_[t], peer.heard_at + kPeerTimeout);
      }
    }
  }
  return new_pressure;
}

void TierGate::Fill(TierStates* states, MonoTime now) const {
  for (uint8_t t = 0; t < kTierCount; ++t) {
    (*states)[t].open = !IsClosed(Tier(t), now);
    (*states)[t].pressed = pressed_until_[t] >= now;
  }
}

}  // namespace camphorsail
