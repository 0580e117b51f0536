#include "camphorsail/placement/server_pace.h"

#include <cstdio>
#include <vector>

#include "gtest/gtest.h"
#include "tests/unit/placement/paced_fleet.h"

// Tests of the limit on the requests to a server that has just started or
// recovered. The tests of fleets print the figures of the design note.
namespace camphorsail {
namespace {

using Policy = PacedFleet::Policy;

constexpr absl::Duration kObjective = absl::Seconds(1);

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

/// @return An answer of a server that takes `ratio` times the expected 100 ms.
ServerPace::Answer AnswerAt(double seconds, double ratio) {
  const absl::Duration first = absl::Milliseconds(100) * ratio;
  return {At(seconds) - first, first, ratio, kObjective};
}

PacedFleet::Result Simulate(const char* name,
                            PacedFleet::Parameters parameters,
                            Policy policy) {
  parameters.policy = policy;
  const PacedFleet::Result result =
      PacedFleet(parameters).Run(absl::Seconds(12));
  constexpr const char* kPolicies[] = {"pace", "none", "ramp"};
  std::printf(
      "%s: gateways=%d slots=%d policy=%s first_requests=%d largest_queue=%d "
      "until_share=%.1fs until_open=%.1fs late=%.1f%%\n",
      name, parameters.gateways, parameters.slots,
      kPolicies[static_cast<int>(policy)], result.first_requests,
      result.largest_queue, absl::ToDoubleSeconds(result.until_share),
      absl::ToDoubleSeconds(result.until_open), 100 * result.late_fraction);
  return result;
}

TEST(ServerPaceTest, SoundServerIsOpenAfterAFewRoundTrips) {
  ServerPace pace;
  Random random(1);
  pace.Begin(/*slots=*/64, At(0));
  int round_trips = 0;
  while (pace.is_active()) {
    int sent = 0;
    while (pace.Admits({sent, 0, 64, 1}, ServerPace::Bound::kLimit,
                       At(round_trips), &random)) {
      ++sent;
    }
    ASSERT_LT(++round_trips, 6);
    for (int i = 0; i < sent; ++i) {
      pace.OnAnswer(AnswerAt(round_trips, 1), 64, At(round_trips));
    }
  }
  EXPECT_TRUE(pace.TakeEnded().has_value());
  EXPECT_TRUE(
      pace.Admits({500, 0, 64, 1}, ServerPace::Bound::kLimit, At(9), &random));
}

// A server whose caches are cold must not get more while its answers are later
// than callers allow, and must open once it has become quick.
TEST(ServerPaceTest, ColdServerOpensWhenItHasBecomeQuick) {
  ServerPace pace;
  pace.Begin(/*slots=*/16, At(0));
  const double lowest = pace.limit();
  for (int i = 1; i <= 50; ++i) {
    pace.OnAnswer(AnswerAt(i, 15), 16, At(i));
    ASSERT_LE(pace.limit(), lowest);
  }
  EXPECT_EQ(pace.TakeLateAnswers(), 50U);
  for (int i = 51; pace.is_active(); ++i) {
    ASSERT_LT(i, 150);
    pace.OnAnswer(AnswerAt(i, 1), 16, At(i));
  }
}

// A server that is slower for good meets the objective: it is judged by its own
// speed, and its limit falls only when its answers wait for each other.
TEST(ServerPaceTest, ServerOfHalfTheSpeedIsJudgedByItsOwnSpeed) {
  ServerPace pace;
  pace.Begin(/*slots=*/32, At(0));
  for (int i = 1; i <= 12; ++i) {
    pace.OnAnswer(AnswerAt(i, i % 2 == 0 ? 2.3 : 1.9), 32, At(i));
  }
  const double reached = pace.limit();
  EXPECT_GT(reached, 6);
  for (int i = 13; i <= 16; ++i) {
    pace.OnAnswer(AnswerAt(i, 6), 32, At(i));
  }
  EXPECT_LT(pace.limit(), reached);
}

TEST(ServerPaceTest, FailuresLowerTheLimit) {
  ServerPace pace;
  pace.Begin(/*slots=*/64, At(0));
  const double lowest = pace.limit();
  for (int i = 0; i < 100; ++i) {
    pace.OnAnswer(AnswerAt(1, 1), 64, At(1));
  }
  const double reached = pace.limit();
  pace.OnFailure(At(2));
  EXPECT_DOUBLE_EQ(pace.limit(), reached / 2);
  // Suspended and back: it starts again from the lowest limit.
  pace.Begin(64, At(3));
  EXPECT_DOUBLE_EQ(pace.limit(), lowest);
  EXPECT_EQ(pace.TakeLateAnswers(), 1U);
}

TEST(ServerPaceTest, AnswersOfOtherGatewaysMoveTheLimit) {
  ServerPace pace;
  pace.Begin(/*slots=*/64, At(0));
  const double first = pace.limit();
  pace.OnSharedAnswers({8, 10, 0, 100}, 64, At(0.25));
  EXPECT_DOUBLE_EQ(pace.limit(), first + 10);
  pace.OnSharedAnswers({8, 10, 6, 100}, 64, At(0.5));
  EXPECT_LT(pace.limit(), first + 10);
}

// Guards against the flood at the first moment, when every gateway sees an
// empty server and has a request for it.
TEST(ServerPaceTest, GatewaysTogetherSendAFewRequestsAtTheFirstMoment) {
  for (const int gateways : {33, 410}) {
    for (const int slots : {6, 64}) {
      Random random(gateways + slots);
      int admitted = 0;
      double limit = 0;
      for (int i = 0; i < gateways; ++i) {
        ServerPace pace;
        pace.Begin(slots, At(0));
        limit = pace.limit();
        admitted += pace.Admits({0, 0, slots, gateways},
                                ServerPace::Bound::kLimit, At(0), &random)
                        ? 1
                        : 0;
      }
      EXPECT_LE(admitted, 2 * limit + 2) << gateways << " " << slots;
    }
  }
}

// While the loads of the others are unknown, each gateway keeps to its part.
TEST(ServerPaceTest, GatewayWithoutSharedLoadsUsesItsPart) {
  ServerPace pace;
  Random random(1);
  pace.Begin(/*slots=*/64, At(0));
  const ServerPace::Load two = {2, std::nullopt, 64, 8};
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(
        pace.Admits(two, ServerPace::Bound::kLimit, At(2.0 * i), &random));
  }
}

/// Two idle servers of a plain service, the first of which is paced.
class PacedPlacementTest : public testing::Test {
 protected:
  PacedPlacementTest() {
    for (const char* id : {"new", "old"}) {
      servers_.push_back(MakeRef<BackendServer>());
      servers_.back()->id = BackendServerId(id);
      servers_.back()->slots = 8;
    }
    for (int i = 0; i < 20; ++i) {
      model_.engine().OnCall(absl::Milliseconds(100));
    }
    servers_[0]->pace.Begin(8, At(0));
    request_.objective = kObjective;
  }

  /// Places `count` requests.
  /// @return How many of them went to the paced server.
  int Place(int count) {
    int placed = 0;
    for (int i = 0; i < count; ++i) {
      const PlacementChoice choice =
          placement_.Choose(servers_, request_, model_, At(0));
      choice.server->OnDispatch(absl::ZeroDuration(), Urgency(0), At(0));
      placed += choice.server == servers_[0] ? 1 : 0;
    }
    return placed;
  }

  BackendServers servers_;
  ServiceModel model_;
  PlacementRequest request_;
  Placement placement_{PlacementSettings(), 1};
};

TEST_F(PacedPlacementTest, PacedServerGetsWhatItsLimitAllows) {
  EXPECT_EQ(Place(16), 2);
}

// The limit must not leave slots idle while requests wait elsewhere for longer
// than their objective.
TEST_F(PacedPlacementTest, RequestThatWouldBeLateElsewhereUsesAFreeSlot) {
  for (int i = 0; i < 200; ++i) {
    servers_[1]->OnDispatch(absl::ZeroDuration(), Urgency(0), At(0));
  }
  EXPECT_EQ(Place(30), 8);
}

// Load pattern: most of the fleet is replaced at once. Guards against sending
// all requests to the few servers that were there before.
TEST_F(PacedPlacementTest, PaceGivesWayWhenMostServersAreNew) {
  servers_.push_back(MakeRef<BackendServer>());
  servers_.back()->id = BackendServerId("new too");
  servers_.back()->slots = 8;
  servers_.back()->pace.Begin(8, At(0));
  EXPECT_GE(Place(24), 7);
}

// The limit never refuses a caller.
TEST_F(PacedPlacementTest, RequestIsPlacedWhenAllServersAreAtTheirLimit) {
  servers_[1]->pace.Begin(8, At(0));
  EXPECT_GT(Place(30), 10);
}

// A quarter of the servers of a plain service with 6 slots each comes back at
// once. Without a pace all gateways send to the empty servers; a ramp by time
// leaves them idle. The callers of the rest must not be late for it.
TEST(PacedFleetTest, QuarterOfTheServersComesBackAtOnce) {
  const PacedFleet::Parameters parameters;
  const auto paced = Simulate("sound", parameters, Policy::kPace);
  const auto none = Simulate("sound", parameters, Policy::kNone);
  const auto ramp = Simulate("sound", parameters, Policy::kRamp);
  EXPECT_LE(paced.first_requests, parameters.slots);
  EXPECT_LT(paced.first_requests, none.first_requests / 2);
  EXPECT_LT(paced.largest_queue, none.largest_queue);
  EXPECT_LT(paced.until_share, ramp.until_share);
  EXPECT_LT(paced.until_share, absl::Seconds(3));
  EXPECT_LT(paced.late_fraction, 0.01);
}

TEST(PacedFleetTest, ServersComeBackHalfAsFast) {
  PacedFleet::Parameters parameters;
  parameters.cold_factor = parameters.warm_factor = 2;
  const auto paced = Simulate("half", parameters, Policy::kPace);
  const auto none = Simulate("half", parameters, Policy::kNone);
  Simulate("half", parameters, Policy::kRamp);
  EXPECT_LT(paced.largest_queue, none.largest_queue);
  EXPECT_LT(paced.until_share, absl::Seconds(3));
}

TEST(PacedFleetTest, ServersComeBackCold) {
  PacedFleet::Parameters parameters;
  parameters.cold_factor = 4;
  parameters.cold_answers = 24;
  const auto paced = Simulate("cold", parameters, Policy::kPace);
  const auto none = Simulate("cold", parameters, Policy::kNone);
  Simulate("cold", parameters, Policy::kRamp);
  EXPECT_LT(paced.largest_queue, none.largest_queue);
  EXPECT_LT(paced.first_requests, none.first_requests / 2);
}

TEST(PacedFleetTest, ManyGatewaysBeforeLargeServers) {
  PacedFleet::Parameters parameters;
  parameters.gateways = 410;
  parameters.slots = 64;
  const auto paced = Simulate("large", parameters, Policy::kPace);
  const auto none = Simulate("large", parameters, Policy::kNone);
  Simulate("large", parameters, Policy::kRamp);
  EXPECT_LT(paced.first_requests, none.first_requests / 4);
  EXPECT_LT(paced.until_share, absl::Seconds(5));
}

}  // namespace
}  // namespace camphorsail
