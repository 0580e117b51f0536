#include <set>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/gateway/attempt_health.h"
#include "camphorsail/gateway/backend_server.h"
#include "camphorsail/gateway/demand_meter.h"
#include "camphorsail/gateway/event_stream.h"
#include "camphorsail/gateway/gateway_retry_budget.h"
#include "camphorsail/gateway/placement.h"
#include "camphorsail/gateway/refusal_outbox.h"
#include "camphorsail/gateway/table_lease.h"
#include "gtest/gtest.h"

// Tests of the parts of the gateway that need no sockets.
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

TEST(TableLeaseTest, CountsFromTheTimeOfThePoll) {
  TableLease lease(absl::Seconds(4), 100);
  EXPECT_FALSE(lease.IsValid(At(0)));
  const uint64_t token = lease.OnPoll(At(0));
  lease.OnConfirmed(token);
  EXPECT_TRUE(lease.IsValid(At(3.9)));
  EXPECT_FALSE(lease.IsValid(At(4)));
}

// Guards against extending the lease by a confirmation that arrives late
// because the VM was suspended, or that answers a poll of another process.
TEST(TableLeaseTest, LateOrUnknownConfirmationsDoNotExtendTheLease) {
  TableLease lease(absl::Seconds(4), 100);
  const uint64_t old = lease.OnPoll(At(0));
  lease.OnPoll(At(10));
  lease.OnConfirmed(old);
  lease.OnConfirmed(7);
  EXPECT_FALSE(lease.IsValid(At(10)));
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

// Guards against the loss of a refusal when the poll that reports it is lost.
TEST(RefusalOutboxTest, ReportsUntilAPollIsAnswered) {
  RefusalOutbox outbox;
  outbox.Add(ClientAccountId("a"), ClassId("c"), ErrorKind::kOverloaded);
  outbox.Add(ClientAccountId("a"), ClassId("c"), ErrorKind::kBackendFailed);
  ASSERT_EQ(outbox.Take(5).size(), 1U);
  outbox.OnAnswered(4);
  outbox.Add(ClientAccountId("b"), ClassId("c"), ErrorKind::kOverloaded);
  EXPECT_EQ(outbox.Take(6).size(), 2U);
  outbox.OnAnswered(5);
  const std::vector<RefusalReport> left = outbox.Take(7);
  ASSERT_EQ(left.size(), 1U);
  EXPECT_EQ(left[0].account, ClientAccountId("b"));
  outbox.OnAnswered(7);
  EXPECT_TRUE(outbox.Take(8).empty());
}

TEST(EventStreamTest, ForwardsCompleteEvents) {
  EventStream stream;
  EXPECT_EQ(stream.Take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(stream.last_id(), 1U);
  EXPECT_EQ(stream.rest(), "id: 2\nda");
  EXPECT_EQ(stream.Take("ta: b\r\n\r"), "");
  EXPECT_EQ(stream.Take("\nid: 3\n"), "id: 2\ndata: b\r\n\r\n");
  EXPECT_EQ(stream.last_id(), 2U);
  EXPECT_EQ(stream.count(), 2U);
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
  const uint64_t first = server.OnDispatch(absl::ZeroDuration(), true, At(0));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(0)));
  for (int i = 1; i <= 3; ++i) {
    const uint64_t later = server.OnDispatch(absl::ZeroDuration(), true, At(i));
    server.OnFirstAnswer(later, At(i + 0.1));
  }
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
  server.OnFirstAnswer(server.OnDispatch(absl::ZeroDuration(), true, At(4)),
                       At(4.1));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(4.2)));
}

// Guards against a request that waits until its caller's deadline although its
// answer was lost and the server has gone on to answer other requests.
TEST(BackendServerTest, RequestIsStuckWhenTheServerIsNotBusy) {
  BackendServer server;
  server.slots = 8;
  const uint64_t first = server.OnDispatch(absl::ZeroDuration(), true, At(0));
  server.OnFirstAnswer(server.OnDispatch(absl::ZeroDuration(), true, At(1)),
                       At(1.1));
  EXPECT_TRUE(server.IsStuck(first, At(0), At(4)));
  server.OnOtherGatewaysLoad({0, 9, 0}, At(4));
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
  server.OnOtherGatewaysLoad({0, 2, 2000}, At(4));
  EXPECT_FALSE(server.IsStuck(first, At(0), At(4)));
}

TEST(BackendServerTest, FreshSharedLoadTakesPrecedenceOverReports) {
  BackendServer server;
  server.OnReport({20, 5, 32}, At(0));
  EXPECT_EQ(server.OtherGatewaysLoad(At(0)), 25);
  server.OnOtherGatewaysLoad({0, 3, 100}, At(0));
  EXPECT_EQ(server.OtherGatewaysLoad(At(0)), 3);
  EXPECT_EQ(server.PromptBacklog(At(0.04)), absl::Milliseconds(60));
  EXPECT_GT(server.OtherGatewaysLoad(At(1.6)), 3);
}

/// @return Idle engines of one service, with the same hashes at every gateway.
BackendFleet::Servers MakeEngines(int count) {
  BackendFleet::Servers servers;
  for (int i = 0; i < count; ++i) {
    auto server = MakeRef<BackendServer>();
    server->id = BackendServerId("engine-" + std::to_string(i));
    server->hash = MixBits(Fnv1a64(server->id.value()));
    server->slots = 16;
    servers.push_back(server);
  }
  return servers;
}

PlacementRequest Generation(const std::string& prefix, bool is_interactive) {
  PlacementRequest request;
  request.is_generation = true;
  request.prompt_tokens = Tokens(12000);
  request.prefixes =
      PromptPrefixes::Of("m", {{prefix, Tokens(5000)}, {"own", Tokens(7000)}});
  request.is_interactive = is_interactive;
  return request;
}

TEST(PlacementTest, GatewaysAgreeOnTheHomeOfAPrefix) {
  std::set<BackendServerId> used;
  for (int prefix = 0; prefix < 40; ++prefix) {
    const PlacementRequest request =
        Generation("p" + std::to_string(prefix), false);
    std::set<BackendServerId> chosen;
    for (uint64_t gateway = 1; gateway <= 5; ++gateway) {
      Placement placement(PlacementSettings(), gateway);
      chosen.insert(
          placement.Choose(MakeEngines(9), request, At(0)).server->id);
    }
    EXPECT_EQ(chosen.size(), 1U);
    used.insert(chosen.begin(), chosen.end());
  }
  EXPECT_GT(used.size(), 3U);
}

// Guards against interactive streams on engines that prefill long prompts
// between the tokens of these streams.
TEST(PlacementTest, InteractiveAndBulkStreamsUseDifferentEngines) {
  Placement placement(PlacementSettings(), 1);
  placement.SetDemand({2000, 4000});
  const BackendFleet::Servers engines = MakeEngines(9);
  std::set<BackendServerId> interactive;
  std::set<BackendServerId> bulk;
  for (int i = 0; i < 200; ++i) {
    const std::string prefix = "p" + std::to_string(i);
    interactive.insert(
        placement.Choose(engines, Generation(prefix, true), At(0)).server->id);
    bulk.insert(
        placement.Choose(engines, Generation(prefix, false), At(0)).server->id);
  }
  for (const BackendServerId& id : interactive) {
    EXPECT_FALSE(bulk.contains(id)) << id.value();
  }
  EXPECT_EQ(interactive.size() + bulk.size(), 9U);
}

TEST(PlacementTest, LoadedHomeSpillsOverAndTriedServersAreSkipped) {
  Placement placement(PlacementSettings(), 1);
  const BackendFleet::Servers engines = MakeEngines(9);
  PlacementRequest request = Generation("p", false);
  const PlacementChoice home = placement.Choose(engines, request, At(0));
  EXPECT_EQ(home.prefix_rank, 0);
  home.server->OnDispatch(absl::Seconds(8), false, At(0));
  const PlacementChoice spilled = placement.Choose(engines, request, At(0));
  EXPECT_NE(spilled.server, home.server);
  request.failed_servers = {spilled.server->id};
  EXPECT_NE(placement.Choose(engines, request, At(0)).server, spilled.server);
}

TEST(PlacementTest, SuspendedServersAreTheLastResort) {
  Placement placement(PlacementSettings(), 1);
  BackendFleet::Servers servers = MakeEngines(2);
  servers[0]->health.OnUnreachable(At(0));
  PlacementRequest call;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(placement.Choose(servers, call, At(0)).server, servers[1]);
  }
  servers[1]->health.OnUnreachable(At(0));
  EXPECT_TRUE(placement.Choose(servers, call, At(0)).server);
  EXPECT_FALSE(placement.Choose({}, call, At(0)).server);
}

}  // namespace
}  // namespace camphorsail
