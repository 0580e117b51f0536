#include "camphorsail/placement/engine_model.h"

#include "camphorsail/base/random.h"
#include "camphorsail/placement/service_model.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

/// An engine as the model should learn it.
struct Engine {
  double prefill_ms_per_token;
  double first_event_ms;
  double step_ms;
};

/// Lets the model see streams of the engine. A fifth of the first events are
/// late because the prompt was not cached or other prompts were read first, and
/// a third of the gaps contain the prefill of another prompt.
void ShowStreams(const Engine& engine,
                 int streams,
                 Random* random,
                 EngineModel* model) {
  for (int i = 0; i < streams; ++i) {
    const double tokens = 200 + 8000 * random->Uniform();
    double wait_ms =
        tokens * engine.prefill_ms_per_token + engine.first_event_ms;
    if (random->Uniform() < 0.2) {
      wait_ms += 5000 * engine.prefill_ms_per_token;
    }
    model->OnFirstEvent(tokens, absl::Milliseconds(wait_ms));
    double gap_ms = 6 * engine.step_ms * (0.95 + 0.1 * random->Uniform());
    if (random->Uniform() < 0.33) {
      gap_ms += 3000 * engine.prefill_ms_per_token;
    }
    model->OnGap(6, absl::Milliseconds(gap_ms), absl::ZeroDuration());
  }
}

// Guards against speeds that only fit one deployment: engines between a third
// and three times as fast as each other are learned from a few tens of answers.
TEST(EngineModelTest, LearnsTheSpeedOfAnyEngine) {
  Random random(7);
  for (const double factor : {0.3, 1.0, 3.0}) {
    const Engine engine = {0.02 * factor, 15 * factor, 4 * factor};
    EngineModel model;
    ShowStreams(engine, 40, &random, &model);
    EXPECT_NEAR(model.PrefillMsPerToken(), engine.prefill_ms_per_token,
                0.15 * engine.prefill_ms_per_token);
    EXPECT_NEAR(model.StepMs(), engine.step_ms, 0.15 * engine.step_ms);
  }
}

// Guards against estimates that stay wrong after engines were exchanged for
// faster or slower ones.
TEST(EngineModelTest, FollowsAChangeOfTheEngines) {
  Random random(8);
  EngineModel model;
  ShowStreams({0.02, 15, 4}, 100, &random, &model);
  ShowStreams({0.05, 30, 10}, 100, &random, &model);
  EXPECT_NEAR(model.PrefillMsPerToken(), 0.05, 0.0075);
  EXPECT_NEAR(model.StepMs(), 10, 1.5);
}

// Before the first answers, an engine is assumed to keep the objective easily.
TEST(EngineModelTest, AssumesFromTheObjectivesBeforeAnyAnswer) {
  EngineModel model;
  EXPECT_EQ(model.PrefillMs(1000), 0);
  model.OnRequest(1000, absl::Milliseconds(500));
  EXPECT_DOUBLE_EQ(model.PrefillMs(1000), 100);
  model.OnRequest(10000, absl::Milliseconds(500));
  EXPECT_DOUBLE_EQ(model.PrefillMs(10000), 100);
  model.OnRequest(0, absl::Milliseconds(100));
  EXPECT_DOUBLE_EQ(model.CallMs(), 20);
}

Route StreamRoute(const std::string& name, int64_t gap_ms) {
  Route route;
  route.name = name;
  route.objective_ms = 500;
  route.max_event_gap_ms = gap_ms;
  return route;
}

// Guards against a split of the routes by their objectives, which puts long
// prompts with a short objective beside quick streams.
TEST(ServiceModelTest, SplitsRoutesAtTheWidestGapOfPromptLengths) {
  ServiceModel model;
  const Route quick = StreamRoute("quick", 200);
  const Route medium = StreamRoute("medium", 300);
  const Route heavy = StreamRoute("heavy", 250);
  for (int i = 0; i < 200; ++i) {
    model.OnRequest(quick, 800, 600);
    model.OnRequest(medium, 2300, 1800);
    model.OnRequest(heavy, 9000, 3000);
  }
  EXPECT_TRUE(model.IsInteractive(quick));
  EXPECT_TRUE(model.IsInteractive(medium));
  EXPECT_FALSE(model.IsInteractive(heavy));
  EXPECT_EQ(model.LaneOf(true).max_event_gap, absl::Milliseconds(200));
  EXPECT_EQ(model.LaneOf(false).max_event_gap, absl::Milliseconds(250));
  EXPECT_NEAR(model.LaneOf(true).unshared_tokens, 1200, 1);
  EXPECT_NEAR(model.LaneOf(false).unshared_tokens, 3000, 1);
}

// With one kind of stream there is nothing to keep apart.
TEST(ServiceModelTest, RoutesWithSimilarPromptsShareAllEngines) {
  ServiceModel model;
  const Route a = StreamRoute("a", 200);
  const Route b = StreamRoute("b", 0);
  for (int i = 0; i < 100; ++i) {
    model.OnRequest(a, 4000, 100);
    model.OnRequest(b, 9000, 100);
  }
  EXPECT_TRUE(model.IsInteractive(a));
  EXPECT_TRUE(model.IsInteractive(b));
}

}  // namespace
}  // namespace camphorsail
