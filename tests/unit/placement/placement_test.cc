#include "camphorsail/placement/placement.h"

#include <map>
#include <set>
#include <string>

#include "camphorsail/base/fnv_hash.h"
#include "gtest/gtest.h"

// Tests of the choice of a server. Each load test names the pattern of load
// that it stands for.
namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

/// @return Idle engines of one service, with the same hashes at every gateway.
BackendServers MakeEngines(int count) {
  BackendServers servers;
  for (int i = 0; i < count; ++i) {
    auto server = MakeRef<BackendServer>();
    server->id = BackendServerId("engine-" + std::to_string(i));
    server->hash = MixBits(Fnv1a64(server->id.value()));
    server->slots = 16;
    servers.push_back(server);
  }
  return servers;
}

/// Prefill time of a token and duration of a step on the engines of these
/// tests, in milliseconds.
constexpr double kPrefillMsPerToken = 0.02;
constexpr double kStepMs = 4;

Route StreamRoute(const std::string& name,
                  int64_t objective_ms,
                  int64_t gap_ms) {
  Route route;
  route.name = name;
  route.kind = RouteKind::kStream;
  route.objective_ms = objective_ms;
  route.max_event_gap_ms = gap_ms;
  return route;
}

/// A service with quick streams, which have short prompts and allow short
/// pauses, and bulk streams with long prompts.
class PlacementTest : public testing::Test {
 protected:
  PlacementTest()
      : quick_(StreamRoute("quick", 300, 150)),
        bulk_(StreamRoute("bulk", 2000, 800)) {
    for (int i = 0; i < 40; ++i) {
      model_.OnRequest(quick_, 800, 600);
      model_.OnRequest(bulk_, 12000, 7000);
      const double tokens = i % 2 == 0 ? 600 : 7000;
      model_.engine().OnFirstEvent(
          tokens, absl::Milliseconds(20 + tokens * kPrefillMsPerToken));
      model_.engine().OnGap(8, absl::Milliseconds(8 * kStepMs),
                            absl::ZeroDuration());
    }
  }

  PlacementRequest Generation(const Route& route,
                              const std::string& prefix,
                              int64_t shared,
                              int64_t own) const {
    PlacementRequest request;
    request.is_generation = true;
    request.prompt_tokens = Tokens(shared + own);
    request.prefixes = PromptPrefixes::Of(
        "m", {{prefix, Tokens(shared)}, {"own", Tokens(own)}});
    request.is_interactive = model_.IsInteractive(route);
    request.objective = absl::Milliseconds(route.objective_ms);
    request.tokens_per_event = 8;
    return request;
  }
  PlacementRequest Quick(const std::string& prefix) const {
    return Generation(quick_, prefix, 200, 600);
  }
  PlacementRequest Bulk(const std::string& prefix) const {
    return Generation(bulk_, prefix, 5000, 7000);
  }

  Route quick_;
  Route bulk_;
  ServiceModel model_;
  Placement placement_{PlacementSettings(), 1};
};

TEST_F(PlacementTest, GatewaysAgreeOnTheHomeOfAPrefix) {
  std::set<BackendServerId> used;
  for (int prefix = 0; prefix < 40; ++prefix) {
    const PlacementRequest request = Bulk("p" + std::to_string(prefix));
    std::set<BackendServerId> chosen;
    for (uint64_t gateway = 1; gateway <= 5; ++gateway) {
      Placement placement(PlacementSettings(), gateway);
      chosen.insert(
          placement.Choose(MakeEngines(9), request, model_, At(0)).server->id);
    }
    EXPECT_EQ(chosen.size(), 1U);
    used.insert(chosen.begin(), chosen.end());
  }
  EXPECT_GT(used.size(), 3U);
}

// Load pattern: long prompts beside quick streams.
TEST_F(PlacementTest, InteractiveAndBulkStreamsUseDifferentEngines) {
  placement_.SetDemand({2000, 4000, 100});
  const BackendServers engines = MakeEngines(9);
  std::set<BackendServerId> interactive;
  std::set<BackendServerId> bulk;
  for (int i = 0; i < 200; ++i) {
    const std::string prefix = "p" + std::to_string(i);
    interactive.insert(
        placement_.Choose(engines, Quick(prefix), model_, At(0)).server->id);
    bulk.insert(
        placement_.Choose(engines, Bulk(prefix), model_, At(0)).server->id);
  }
  for (const BackendServerId& id : interactive) {
    EXPECT_FALSE(bulk.contains(id)) << id.value();
  }
  EXPECT_EQ(interactive.size() + bulk.size(), 9U);
}

// Load pattern: one kind of stream. No engine may be kept free for streams that
// do not come.
TEST_F(PlacementTest, OneKindOfStreamUsesAllEngines) {
  for (const EngineDemand demand : {EngineDemand{}, EngineDemand{3000, 0, 100},
                                    EngineDemand{0, 3000, 100}}) {
    placement_.SetDemand(demand);
    const BackendServers engines = MakeEngines(9);
    std::set<BackendServerId> used;
    for (int i = 0; i < 200; ++i) {
      const std::string prefix = "p" + std::to_string(i);
      const PlacementRequest request =
          demand.bulk > 0 ? Bulk(prefix) : Quick(prefix);
      used.insert(
          placement_.Choose(engines, request, model_, At(0)).server->id);
    }
    EXPECT_EQ(used.size(), 9U);
  }
}

// Load pattern: idle engine beside a loaded home.
TEST_F(PlacementTest, LoadedHomeSpillsOverAndTriedServersAreSkipped) {
  const BackendServers engines = MakeEngines(9);
  PlacementRequest request = Bulk("p");
  const PlacementChoice home =
      placement_.Choose(engines, request, model_, At(0));
  EXPECT_EQ(home.prefix_rank, 0);
  // As long as the wait at the home is shorter than reading the prefix again
  // elsewhere, the home is kept.
  home.server->OnDispatch(absl::Milliseconds(50), Urgency(0), At(0));
  EXPECT_EQ(placement_.Choose(engines, request, model_, At(0)).server,
            home.server);
  home.server->OnDispatch(absl::Seconds(6), Urgency(0), At(0));
  const PlacementChoice spilled =
      placement_.Choose(engines, request, model_, At(0));
  EXPECT_NE(spilled.server, home.server);
  request.failed_servers = {spilled.server->id};
  EXPECT_NE(placement_.Choose(engines, request, model_, At(0)).server,
            spilled.server);
}

// Load pattern: one hot key. The streams of a prefix that is asked for more
// often than its home can serve use other engines too.
TEST_F(PlacementTest, HotPrefixIsSpreadOverSeveralEngines) {
  const BackendServers engines = MakeEngines(9);
  const PlacementRequest request = Bulk("hot");
  std::map<BackendServerId, int> used;
  for (int i = 0; i < 60; ++i) {
    const MonoTime now = At(i * 0.02);
    placement_.OnRequest(request, now);
    const PlacementChoice choice =
        placement_.Choose(engines, request, model_, now);
    choice.server->OnDispatch(choice.prefill, Urgency(0), now);
    choice.server->prefixes.Record(request.prefixes, now);
    ++used[choice.server->id];
  }
  EXPECT_GE(used.size(), 4U);
  for (const auto& [id, count] : used) {
    EXPECT_LT(count, 30) << id.value();
  }
}

// Load pattern: a burst of long prompts. They leave their engines for those of
// the quick streams only where no stream runs that they would make late.
TEST_F(PlacementTest, BulkStreamsSpareEnginesWithQuickStreams) {
  placement_.SetDemand({2000, 4000, 100});
  const BackendServers engines = MakeEngines(9);
  std::set<BackendServerId> bulk_engines;
  for (int i = 0; i < 200; ++i) {
    bulk_engines.insert(
        placement_.Choose(engines, Bulk("p" + std::to_string(i)), model_, At(0))
            .server->id);
  }
  const BackendServer* idle = nullptr;
  for (const Ref<BackendServer>& engine : engines) {
    if (bulk_engines.contains(engine->id)) {
      engine->OnDispatch(absl::Seconds(5), Urgency(0), At(0));
    } else if (idle == nullptr) {
      idle = engine.get();
    } else {
      for (int i = 0; i < 5; ++i) {
        engine->OnDispatch(absl::ZeroDuration(), Urgency(0), At(0));
      }
    }
  }
  ASSERT_NE(idle, nullptr);
  EXPECT_EQ(placement_.Choose(engines, Bulk("p"), model_, At(0)).server.get(),
            idle);
}

// Load pattern: an engine so much slower than the others that it would be late.
TEST_F(PlacementTest, SlowEngineIsAvoidedEvenAsHome) {
  const BackendServers engines = MakeEngines(4);
  const PlacementRequest request = Quick("p");
  const Ref<BackendServer> home =
      placement_.Choose(engines, request, model_, At(0)).server;
  for (int i = 0; i < 20; ++i) {
    home->health.OnResponseTime(20, At(0));
  }
  EXPECT_NE(placement_.Choose(engines, request, model_, At(0)).server, home);
}

// Load pattern: all gateways see the same stale load. Without the rank of each
// engine and the random choice among equals, all would pick the same engine.
TEST_F(PlacementTest, GatewaysWithTheSameViewDoNotHerd) {
  std::map<BackendServerId, int> used;
  for (uint64_t gateway = 1; gateway <= 116; ++gateway) {
    Placement placement(PlacementSettings(), gateway);
    const BackendServers engines = MakeEngines(60);
    const PlacementRequest request = Quick("p" + std::to_string(gateway % 40));
    ++used[placement.Choose(engines, request, model_, At(0)).server->id];
  }
  for (const auto& [id, count] : used) {
    EXPECT_LE(count, 12) << id.value();
  }
}

TEST_F(PlacementTest, SuspendedServersAreTheLastResort) {
  BackendServers servers = MakeEngines(2);
  servers[0]->health.OnUnreachable(At(0));
  PlacementRequest call;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(placement_.Choose(servers, call, model_, At(0)).server,
              servers[1]);
  }
  servers[1]->health.OnUnreachable(At(0));
  EXPECT_TRUE(placement_.Choose(servers, call, model_, At(0)).server);
  EXPECT_FALSE(placement_.Choose({}, call, model_, At(0)).server);
}

}  // namespace
}  // namespace camphorsail
