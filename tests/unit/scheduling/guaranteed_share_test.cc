#include "camphorsail/scheduling/guaranteed_share.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime::FromNanos(static_cast<int64_t>(seconds * 1e9));
}

// Slot-seconds per second that the class is guaranteed.
constexpr double kRate = 2;

// Guards against a class that gets no credit while higher tiers take all slots.
TEST(GuaranteedShareTest, CreditGrowsAtTheGuaranteedRate) {
  GuaranteedShare share;
  EXPECT_FALSE(share.Covers(3, kRate));
  share.Advance(kRate, At(3.1));
  EXPECT_TRUE(share.Covers(3, kRate));
  share.Charge(3);
  EXPECT_FALSE(share.Covers(3, kRate));
}

// Guards against a class that gets no credit for a very long time after it has
// received much more than its share.
TEST(GuaranteedShareTest, NegativeCreditIsBounded) {
  GuaranteedShare share;
  share.Charge(1e6);
  share.Advance(kRate, At(0.01));
  share.Advance(kRate, At(0.01 + GuaranteedShare::kWindowSeconds + 5.1));
  EXPECT_TRUE(share.Covers(5, kRate));
}

// Guards against a burst of guaranteed requests after a long idle time.
TEST(GuaranteedShareTest, PositiveCreditIsBounded) {
  GuaranteedShare share;
  share.Advance(kRate, At(1000));
  share.Charge(kRate * GuaranteedShare::kWindowSeconds);
  EXPECT_FALSE(share.Covers(0.1, kRate));
}

// Guards against requests that are never covered because they need more work
// than the largest credit.
TEST(GuaranteedShareTest, LargeRequestNeedsAlmostFullCredit) {
  GuaranteedShare share;
  share.Advance(kRate, At(GuaranteedShare::kWindowSeconds));
  EXPECT_TRUE(share.Covers(1000, kRate));
}

}  // namespace
}  // namespace camphorsail
