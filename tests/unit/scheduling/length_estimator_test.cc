#include "camphorsail/scheduling/length_estimator.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr Tokens kPrompt(100);
constexpr Tokens kMaximum(4096);

// Guards against plans for very short answers while no answer has been
// observed.
TEST(LengthEstimatorTest, StartsWithHalfOfTheBound) {
  const LengthEstimator estimator(LengthPlan::kQuantile, 0.95);
  EXPECT_EQ(estimator.Planned(0, 0, kPrompt, Tokens(0), kMaximum),
            Tokens(2048));
}

// Guards against a planned length that more answers exceed than the quantile
// allows, and against one that is far too long.
TEST(LengthEstimatorTest, QuantileCoversMostAnswers) {
  LengthEstimator estimator(LengthPlan::kQuantile, 0.95);
  for (int i = 1; i <= 1000; ++i) {
    estimator.Add(0, 0, kPrompt, Tokens(i));
  }
  const Tokens planned = estimator.Planned(0, 0, kPrompt, Tokens(0), kMaximum);
  EXPECT_GE(planned, Tokens(950));
  EXPECT_LE(planned, Tokens(1190));
}

// Guards against an estimate that is not above the number of received tokens
// when an answer turns out longer than planned.
TEST(LengthEstimatorTest, EstimateGrowsWithReceivedTokens) {
  LengthEstimator estimator(LengthPlan::kQuantile, 0.5);
  for (int i = 0; i < 100; ++i) {
    estimator.Add(0, 0, kPrompt, Tokens(10));
    estimator.Add(0, 0, kPrompt, Tokens(1000));
  }
  EXPECT_LE(estimator.Planned(0, 0, kPrompt, Tokens(0), kMaximum), Tokens(12));
  EXPECT_GE(estimator.Planned(0, 0, kPrompt, Tokens(20), kMaximum),
            Tokens(1000));
  EXPECT_EQ(estimator.Planned(0, 0, kPrompt, Tokens(5000), kMaximum),
            Tokens(5001));
}

// Guards against estimates of one account that are affected by the answers of
// another.
TEST(LengthEstimatorTest, AccountsAreSeparateOnceObserved) {
  LengthEstimator estimator(LengthPlan::kMean, 0.95);
  for (int i = 0; i < 100; ++i) {
    estimator.Add(0, 0, kPrompt, Tokens(10));
    estimator.Add(1, 0, kPrompt, Tokens(1000));
  }
  EXPECT_LE(estimator.Expected(0, 0, kPrompt, Tokens(0), kMaximum), Tokens(12));
  EXPECT_GE(estimator.Expected(1, 0, kPrompt, Tokens(0), kMaximum),
            Tokens(900));
  // A new account gets the estimate of its class.
  const Tokens fresh = estimator.Expected(2, 0, kPrompt, Tokens(0), kMaximum);
  EXPECT_GT(fresh, Tokens(400));
  EXPECT_LT(fresh, Tokens(600));
}

// Guards against a distribution that does not follow a change of the answer
// lengths.
TEST(LengthDistributionTest, FollowsAChange) {
  LengthDistribution distribution;
  for (int i = 0; i < 20000; ++i) {
    distribution.Add(Tokens(1000));
  }
  for (int i = 0; i < 20000; ++i) {
    distribution.Add(Tokens(10));
  }
  EXPECT_LE(distribution.Quantile(0.5, Tokens(0)), Tokens(12));
}

}  // namespace
}  // namespace camphorsail
