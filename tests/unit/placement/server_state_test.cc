#include <string>
#include <vector>

#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/placement/attempt_health.h"
#include "camphorsail/placement/backend_server.h"
#include "camphorsail/placement/demand_meter.h"
#include "camphorsail/placement/gateway_retry_budget.h"
#include "gtest/gtest.h"

// Tests of what a gateway keeps about servers, demand and retries.
namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

/// Feeds the meter a constant rate of requests.
/// @return The measured rate after `time`, as a fraction of the actual rate.
double MeasuredFraction(DemandMeter* meter, absl::Duration time) {
  constexpr int kPerSecond = 100;
  MonoTime now = MonoTime::FromNanos(1'000'000'000);
  meter->Rate(now);
  const int count = static_cast<int>(absl::ToDoubleSeconds(time) * kPerSecond);
  for (int i = 0; i < count; ++i) {
    now = now + absl::Seconds(1) / kPerSecond;
    meter->Add(/*is_interactive=*/true, 20, now);
  }
  return meter->Rate(now).interactive / (20 * kPerSecond);
}

// With one time constant for all fleets, the lanes of a large fleet would
// follow a burst only when it is over, or those of a small fleet would change
// by chance.
TEST(DemandMeterTest, LargeFleetsUseAShorterTimeConstant) {
  DemandMeter small;
  small.SetTotalRequests(60, MonoTime::FromNanos(1));
  EXPECT_DOUBLE_EQ(small.time_constant(), 3);
  DemandMeter large;
  large.SetTotalRequests(400, MonoTime::FromNanos(1));
  EXPECT_DOUBLE_EQ(large.time_constant(), 1);
  DemandMeter huge;
  huge.SetTotalRequests(9000, MonoTime::FromNanos(1));
  EXPECT_DOUBLE_EQ(huge.time_constant(), 0.5);
  EXPECT_NEAR(MeasuredFraction(&small, absl::Seconds(1)), 0.28, 0.02);
  EXPECT_NEAR(MeasuredFraction(&large, absl::Seconds(1)), 0.63, 0.02);
  EXPECT_NEAR(MeasuredFraction(&huge, absl::Seconds(1)), 0.86, 0.02);
}

TEST(GatewayRetryBudgetTest, BoundsRetriesInEveryWindow) {
  GatewayRetryBudgetSettings settings;
  settings.ratio = 0.2;
  settings.slack = 40;
  settings.used_fraction = 1;
  GatewayRetryBudget budget(settings);
  for (int i = 0; i < 50; ++i) {
    budget.OnRequest(At(0));
  }
  int allowed = 0;
  while (budget.TryRetry(/*gateways=*/4, At(0))) {
    ++allowed;
  }
  EXPECT_EQ(allowed, 20);
  EXPECT_FALSE(budget.TryRetry(4, At(9)));
  EXPECT_TRUE(budget.TryRetry(4, At(10.1)));
}

TEST(AttemptHealthTest, SuspendsAfterFailuresAndTriesAgain) {
  AttemptHealth health;
  health.OnUnreachable(At(0));
  EXPECT_FALSE(health.AcceptsRequests(At(0.1)));
  EXPECT_TRUE(health.AcceptsRequests(At(0.6)));
  health.OnUnreachable(At(0.6));
  EXPECT_FALSE(health.AcceptsRequests(At(1.5)));
  health.OnSuccess(At(2));
  EXPECT_TRUE(health.AcceptsRequests(At(2)));
}

// A server that fails only some of its requests is not suspended, but has a
// higher failure rate, which raises its cost.
TEST(AttemptHealthTest, FailureRateFollowsTheAttempts) {
  AttemptHealth health;
  for (int i = 0; i < 40; ++i) {
    health.OnSuccess(At(i * 0.01));
    health.OnFailure(At(i * 0.01));
  }
  EXPECT_TRUE(health.AcceptsRequests(At(0.5)));
  EXPECT_GT(health.FailureRate(At(0.5)), 0.3);
  EXPECT_LT(health.FailureRate(At(30)), 0.01);
}

TEST(BackendServerTest, RequestIsStuckWhenLaterOnesAreAnswered) {
  BackendServer server;
  server.slots = 1;
  const uint64_t first =
      server.OnDispatch(absl::ZeroDuration(), Urgency(0), At(0));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(0)));
  for (int i = 1; i <= 3; ++i) {
    const uint64_t later =
        server.OnDispatch(absl::ZeroDuration(), Urgency(0), At(i));
    server.OnFirstAnswer(later, At(i + 0.1));
  }
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
  server.OnFirstAnswer(
      server.OnDispatch(absl::ZeroDuration(), Urgency(0), At(4)), At(4.1));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(4.2)));
}

// Guards against a request that waits until its caller's deadline although its
// answer was lost and the server has gone on to answer other requests.
TEST(BackendServerTest, RequestIsStuckWhenTheServerIsNotBusy) {
  BackendServer server;
  server.slots = 8;
  const uint64_t first =
      server.OnDispatch(absl::ZeroDuration(), Urgency(0), At(0));
  server.OnFirstAnswer(
      server.OnDispatch(absl::ZeroDuration(), Urgency(0), At(1)), At(1.1));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(4)));
  server.OnOtherGatewaysLoad({0, 9, 0, 0}, At(4));
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
  server.OnOtherGatewaysLoad({0, 2, 2000, 0}, At(4));
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
}

// Load pattern: many gateways before many engines, each of which sees few
// answers of any one engine. A request that waits its turn on an engine that
// answers others must not be sent to be read a second time elsewhere.
TEST(BackendServerTest, RequestIsNotStuckWhileOtherGatewaysGetAnswers) {
  BackendServer server;
  server.slots = 8;
  const uint64_t number =
      server.OnDispatch(absl::Milliseconds(100), Urgency(0), At(0));
  server.OnOtherGatewaysLoad({0, 12, 3000, 0}, At(1.9));
  EXPECT_TRUE(server.IsStuck(number, At(0), At(2)));
  server.OnOtherGatewaysLoad({0, 12, 3000, 2}, At(1.9));
  EXPECT_FALSE(server.IsStuck(number, At(0), At(2)));
}

// Load pattern: urgent streams at engines that are full of less urgent ones.
// Engines serve by urgency, so that only what is as urgent is in front of a
// request.
TEST(BackendServerTest, LessUrgentRequestsAreNotInFront) {
  constexpr Urgency kHigh(0);
  constexpr Urgency kLow(5);
  BackendServer server;
  server.OnDispatch(absl::Milliseconds(400), kLow, At(0));
  server.OnDispatch(absl::Milliseconds(30), kHigh, At(0));
  BackendServer other;
  other.OnDispatch(absl::Milliseconds(200), kLow, At(0));
  other.OnDispatch(absl::Milliseconds(10), kHigh, At(0));
  server.OnOtherGatewaysLoad(other.TakeOwnLoad(At(0)), At(0));
  EXPECT_EQ(server.Load(At(0)), 4);
  EXPECT_EQ(server.LoadUpTo(kHigh, At(0)), 2);
  EXPECT_EQ(server.BacklogUpTo(kHigh, At(0)), absl::Milliseconds(40));
  EXPECT_EQ(server.BacklogUpTo(kLow, At(0)), absl::Milliseconds(640));
  server.OnPromptDone(absl::Milliseconds(30), kHigh, At(0));
  server.OnFinished(kHigh);
  EXPECT_EQ(server.BacklogUpTo(kHigh, At(0)), absl::Milliseconds(10));
  EXPECT_EQ(server.LoadUpTo(kHigh, At(0)), 1);
}

// During an update, gateways of two releases run side by side. What an older
// one does not tell by urgency must not make engines look free.
TEST(BackendServerTest, LoadOfUnknownUrgencyCountsAsInFront) {
  BackendServer server;
  server.OnOtherGatewaysLoad({0, 7, 300, 0}, At(0));
  EXPECT_EQ(server.LoadUpTo(Urgency(0), At(0)), 7);
  EXPECT_EQ(server.BacklogUpTo(Urgency(0), At(0)), absl::Milliseconds(300));
}

TEST(UrgencyCountsTest, MessageHasTheLevelsThatAreNotZero) {
  UrgencyCounts counts;
  counts.Add(Urgency(3), 7);
  counts.Add(Urgency(9), 70000);
  const std::string bytes = PackBytes(counts);
  EXPECT_LT(bytes.size(), 12U);
  EXPECT_EQ(*UnpackBytes<UrgencyCounts>(bytes), counts);
  EXPECT_EQ(counts.LessUrgentThan(Urgency(3)), 70000U);
}

// Guards against a malformed message of a peer that writes outside the array.
TEST(UrgencyCountsTest, OtherMessagesAreRejected) {
  for (const std::vector<uint32_t>& list :
       {std::vector<uint32_t>{10, 1}, std::vector<uint32_t>{1}}) {
    EXPECT_FALSE(UnpackBytes<UrgencyCounts>(PackBytes(list)));
  }
}

TEST(BackendServerTest, FreshSharedLoadTakesPrecedenceOverReports) {
  BackendServer server;
  server.OnReport({20, 5, 32}, At(0));
  EXPECT_EQ(server.OtherGatewaysLoad(At(0)), 25);
  server.OnOtherGatewaysLoad({0, 3, 100, 0}, At(0));
  EXPECT_EQ(server.OtherGatewaysLoad(At(0)), 3);
  EXPECT_EQ(server.PromptBacklog(At(0.04)), absl::Milliseconds(60));
  EXPECT_GT(server.OtherGatewaysLoad(At(1.6)), 3);
}

}  // namespace
}  // namespace camphorsail
