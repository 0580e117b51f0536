#include "camphorsail/scheduling/tier_gate.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr Tier kHigh(0);
constexpr Tier kMiddle(1);
constexpr Tier kLow(2);

MonoTime At(int64_t milliseconds) {
  return MonoTime::FromNanos(milliseconds * 1000000);
}

TierGate::TierStates States(bool open_below_middle) {
  TierGate::TierStates states;
  states[2].open = open_below_middle;
  states[3].open = open_below_middle;
  return states;
}

// Guards against refusing requests of a tier while a peer still accepts lower
// tiers.
TEST(TierGateTest, RefusalNeedsEveryPeersConfirmation) {
  TierGate gate;
  gate.OnPeerState(VmId("a"), States(true), At(10));
  gate.OnPeerState(VmId("b"), States(true), At(10));
  EXPECT_FALSE(gate.LowerTiersClosed(kMiddle, At(20)));
  gate.MarkOverloaded(kMiddle, At(1000), At(20));
  gate.OnPeerState(VmId("a"), States(false), At(30));
  EXPECT_FALSE(gate.LowerTiersClosed(kMiddle, At(31)));
  gate.OnPeerState(VmId("b"), States(false), At(32));
  EXPECT_TRUE(gate.LowerTiersClosed(kMiddle, At(33)));
}

// Guards against accepting as confirmation a digest that is older than the lack
// of capacity: the tiers that it reports as closed may be open again.
TEST(TierGateTest, ConfirmationMustBeNewerThanTheOverload) {
  TierGate gate;
  gate.OnPeerState(VmId("a"), States(false), At(10));
  gate.MarkOverloaded(kMiddle, At(1000), At(20));
  EXPECT_FALSE(gate.LowerTiersClosed(kMiddle, At(21)));
}

// Guards against requests that wait forever for the confirmation of a peer that
// has stopped.
TEST(TierGateTest, SilentPeerDoesNotCount) {
  TierGate gate;
  gate.OnPeerState(VmId("a"), States(true), At(10));
  gate.MarkOverloaded(kMiddle, At(5000), At(20));
  EXPECT_FALSE(gate.LowerTiersClosed(kMiddle, At(1000)));
  EXPECT_TRUE(gate.LowerTiersClosed(kMiddle, At(1600)));
}

// Guards against accepting requests of a lower tier while a peer lacks capacity
// for a higher one.
TEST(TierGateTest, PeerOverloadClosesLowerTiersOnly) {
  TierGate gate;
  TierGate::TierStates states;
  states[1].overloaded = true;
  EXPECT_TRUE(gate.OnPeerState(VmId("a"), states, At(10)));
  EXPECT_FALSE(gate.OnPeerState(VmId("a"), states, At(11)));
  EXPECT_FALSE(gate.IsClosed(kHigh, At(20)));
  EXPECT_FALSE(gate.IsClosed(kMiddle, At(20)));
  EXPECT_TRUE(gate.IsClosed(kLow, At(20)));
  // The state of a peer that has sent no digest for 1.5 s is ignored.
  EXPECT_FALSE(gate.IsClosed(kLow, At(1600)));
}

// Guards against a digest that reports closed tiers as open or open tiers as
// closed.
TEST(TierGateTest, DigestShowsOwnState) {
  TierGate gate;
  gate.MarkOverloaded(kMiddle, At(100), At(10));
  TierGate::TierStates states;
  gate.FillStates(&states, At(50));
  EXPECT_TRUE(states[1].overloaded);
  EXPECT_TRUE(states[1].open);
  EXPECT_FALSE(states[2].open);
  gate.FillStates(&states, At(101));
  EXPECT_TRUE(states[2].open);
}

}  // namespace
}  // namespace camphorsail
