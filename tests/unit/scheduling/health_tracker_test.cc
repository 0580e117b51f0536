#include "camphorsail/scheduling/health_tracker.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime::FromNanos(static_cast<int64_t>(seconds * 1e9));
}

// Guards against a slow server that keeps full traffic, and against one that
// gets no full traffic after it has recovered.
TEST(HealthTrackerTest, SlowServerIsProbedUntilItRecovers) {
  HealthTracker health(HealthVariant::kOutlierDetection);
  for (int i = 0; i < 10; ++i) {
    health.OnTimeRatio(3.3);
  }
  EXPECT_TRUE(health.is_outlier());
  EXPECT_EQ(health.SlotLimit(4, At(1)), 1);
  for (int i = 0; i < 30; ++i) {
    health.OnTimeRatio(1);
  }
  EXPECT_FALSE(health.is_outlier());
  EXPECT_EQ(health.SlotLimit(4, At(1)), 4);
}

// Guards against a healthy server that becomes an outlier because of one
// preempted stream.
TEST(HealthTrackerTest, SingleStallIsTolerated) {
  HealthTracker health(HealthVariant::kOutlierDetection);
  for (int i = 0; i < 20; ++i) {
    health.OnTimeRatio(1);
  }
  health.OnTimeRatio(50);
  EXPECT_FALSE(health.is_outlier());
}

// Guards against requests that are sent to a failing server without pause.
TEST(HealthTrackerTest, FailingServerIsProbedWithGrowingPauses) {
  HealthTracker health(HealthVariant::kOutlierDetection);
  for (int i = 0; i < HealthTracker::kMaxConsecutiveFailures; ++i) {
    health.OnResult(false, At(0));
  }
  EXPECT_EQ(health.SlotLimit(4, At(0.9)), 0);
  EXPECT_EQ(health.SlotLimit(4, At(1.1)), 1);
  health.OnResult(false, At(1.1));
  EXPECT_EQ(health.SlotLimit(4, At(3)), 0);
  EXPECT_EQ(health.SlotLimit(4, At(3.2)), 1);
  health.OnResult(true, At(3.3));
  EXPECT_EQ(health.SlotLimit(4, At(3.3)), 4);
}

// Guards against a circuit that opens on too few outcomes, and against one that
// does not close after successful test requests.
TEST(CircuitBreakerTest, OpensOnHistoryAndClosesOnTests) {
  CircuitBreaker breaker({.history_size = 10,
                          .min_outcomes = 5,
                          .failure_threshold = 0.5,
                          .test_history_size = 4,
                          .skipped_per_group = 3,
                          .test_group_size = 2});
  for (int i = 0; i < 4; ++i) {
    breaker.OnOutcome(false);
  }
  EXPECT_TRUE(breaker.Allow());
  breaker.OnOutcome(false);
  EXPECT_TRUE(breaker.IsOpen());
  EXPECT_FALSE(breaker.Allow());
  EXPECT_FALSE(breaker.Allow());
  EXPECT_FALSE(breaker.Allow());
  EXPECT_TRUE(breaker.Allow());
  EXPECT_TRUE(breaker.Allow());
  EXPECT_FALSE(breaker.Allow());
  breaker.OnOutcome(true);
  breaker.OnOutcome(true);
  EXPECT_FALSE(breaker.IsOpen());
}

}  // namespace
}  // namespace camphorsail
