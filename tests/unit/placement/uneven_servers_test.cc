#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/placement/placement.h"
#include "gtest/gtest.h"

// Tests of the choice among servers that differ in speed. Each names the
// pattern of load that it stands for.
namespace camphorsail {
namespace {

constexpr double kPrefillMsPerToken = 0.009;
constexpr double kStepMs = 4;
constexpr int kTokensPerEvent = 9;

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

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

/// One gateway with its own view of the servers of a service with short-pause
/// streams, and streams with long prompts.
class UnevenGateway {
 public:
  UnevenGateway(uint64_t seed, const std::vector<double>& factors)
      : placement_(PlacementSettings(), seed) {
    for (size_t i = 0; i < factors.size(); ++i) {
      auto server = MakeRef<BackendServer>();
      server->id = BackendServerId("engine-" + std::to_string(i));
      server->hash = MixBits(Fnv1a64(server->id.value()));
      server->slots = 16;
      servers_.push_back(server);
      factor_of_[server.get()] = factors[i];
    }
    std::sort(servers_.begin(), servers_.end(),
              [](const auto& a, const auto& b) { return a->hash < b->hash; });
    placement_.SetDemand({3000, 6000, 300, 200});
    for (int i = 0; i < 40; ++i) {
      model_.OnRequest(quick_, 830, 630);
      model_.OnRequest(bulk_, 8000, 6600);
    }
    for (int round = 0; round < 100; ++round) {
      const MonoTime now = At(-20 + round * 0.05);
      for (size_t i = 0; i < servers_.size(); ++i) {
        const Ref<BackendServer>& server = servers_[i];
        const double factor = factor_of_[server.get()];
        model_.OnGap(kTokensPerEvent,
                     absl::Milliseconds(kTokensPerEvent * kStepMs * factor),
                     absl::ZeroDuration(), &server->speed, now);
        const double tokens = round % 2 == 0 ? 630 : 6600;
        if ((round + i) % 8 >= 2) {
          continue;
        }
        model_.OnFirstEvent(
            tokens,
            absl::Milliseconds((20 + tokens * kPrefillMsPerToken) * factor),
            &server->speed);
      }
      if (round % 10 == 9) {
        Exchange(now);
      }
    }
  }

  /// Exchanges loads with no other gateway.
  void Exchange(MonoTime now) {
    for (const Ref<BackendServer>& server : servers_) {
      server->TakeOwnLoad(now);
      server->OnOtherGatewaysLoad({}, now);
    }
    placement_.Divide(servers_, &model_.speeds(), now);
  }
  /// All servers report how long work takes at the moment.
  template <typename Slowdown>
  void Report(const Slowdown& slowdown, MonoTime now) {
    for (size_t i = 0; i < servers_.size(); ++i) {
      model_.speeds().OnReport(slowdown(i), &servers_[i]->speed, now);
    }
  }

  /// A short-pause stream runs on the server.
  void RunQuick(BackendServer* server, Urgency urgency) {
    model_.OnPauseLimit(urgency, absl::Milliseconds(quick_.max_event_gap_ms));
    server->OnDispatch(absl::ZeroDuration(), urgency, At(0));
  }
  PlacementChoice Quick(const std::string& prefix, MonoTime now) {
    return Choose(quick_, prefix, 200, 630, now);
  }
  PlacementChoice Bulk(const std::string& prefix, MonoTime now) {
    return Choose(bulk_, prefix, 1400, 6600, now);
  }

  double FactorOf(const Ref<BackendServer>& server) const {
    return factor_of_.at(server.get());
  }
  const BackendServers& servers() const { return servers_; }
  const ServiceModel& model() const { return model_; }
  Placement& placement() { return placement_; }

 private:
  PlacementChoice Choose(const Route& route,
                         const std::string& prefix,
                         int64_t shared,
                         int64_t own,
                         MonoTime now) {
    PlacementRequest request;
    request.is_generation = true;
    request.prompt_tokens = Tokens(shared + own);
    if (!prefix.empty()) {
      request.prefixes = PromptPrefixes::Of(
          "m", {{prefix, Tokens(shared)}, {"own", Tokens(own)}});
    }
    request.is_interactive = model_.IsInteractive(route);
    request.objective = absl::Milliseconds(route.objective_ms);
    request.max_event_gap = absl::Milliseconds(route.max_event_gap_ms);
    request.tokens_per_event = kTokensPerEvent;
    return placement_.Choose(servers_, request, model_, now);
  }

  Route quick_ = StreamRoute("quick", 250, 200);
  Route bulk_ = StreamRoute("bulk", 1500, 800);
  ServiceModel model_;
  Placement placement_;
  BackendServers servers_;
  std::map<const BackendServer*, double> factor_of_;
};

/// @return Factors from 0.7 to 1.7 in an order that has nothing to do with the
/// hashes of the servers.
std::vector<double> UnevenFactors(int count) {
  std::vector<double> factors;
  factors.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    factors.push_back(0.7 + (i * 7 % count) * 1.0 / (count - 1));
  }
  return factors;
}

// Load pattern: short pauses beside long prompts on slow engines. Guards
// against a short-pause stream on an engine where it would be late, or beside
// long prompts while another engine has room.
TEST(UnevenServersTest, ShortPausesUseFastEnginesWithoutLongPrompts) {
  UnevenGateway gateway(1, UnevenFactors(20));
  ASSERT_TRUE(gateway.model().speeds().is_divided());
  std::set<BackendServerId> quick;
  std::set<BackendServerId> bulk;
  double slowest = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string prefix = "p" + std::to_string(i);
    const PlacementChoice choice = gateway.Quick(prefix, At(0));
    choice.server->OnDispatch(choice.prefill, Urgency(0), At(0));
    quick.insert(choice.server->id);
    slowest = std::max(slowest, gateway.FactorOf(choice.server));
    bulk.insert(gateway.Bulk(prefix, At(0)).server->id);
  }
  EXPECT_LT(slowest, 1.2);
  EXPECT_GE(quick.size(), 4U);
  for (const BackendServerId& id : quick) {
    EXPECT_FALSE(bulk.contains(id)) << id.value();
  }
}

// Guards against refusing or queueing short-pause streams while the engines of
// the other lane are free.
TEST(UnevenServersTest, StreamsLeaveALaneWithoutRoom) {
  UnevenGateway gateway(1, UnevenFactors(20));
  for (const Ref<BackendServer>& server : gateway.servers()) {
    for (int i = 0; server->speed.is_interactive() && i < 20; ++i) {
      server->OnDispatch(absl::Milliseconds(30), Urgency(0), At(0));
    }
  }
  EXPECT_FALSE(gateway.Quick("p", At(0)).server->speed.is_interactive());
}

// Load pattern: short pauses beside long prompts on slow engines. Guards
// against long prompts on an engine whose short-pause streams began before it
// changed its lane.
TEST(UnevenServersTest, LongPromptsSpareShortPausesOfTheirOwnLane) {
  UnevenGateway gateway(1, UnevenFactors(20));
  gateway.Report([](size_t s) { return s % 7 == 0 ? 2.5 : 1; }, At(-9));
  const Ref<BackendServer> home = gateway.Bulk("", At(0)).server;
  ASSERT_FALSE(home->speed.is_interactive());
  for (int i = 0; i < 6; ++i) {
    gateway.RunQuick(home.get(), Urgency(0));
  }
  for (int i = 0; i < 40; ++i) {
    EXPECT_NE(gateway.Bulk("", At(0)).server, home);
  }
}

// Load pattern: a spell under a stale report. Guards against requests that are
// sent away from the home of their prefix, or all to the same server, because
// of a spell that is over when they arrive.
TEST(UnevenServersTest, StaleReportOfASpellMovesNothing) {
  UnevenGateway gateway(1, UnevenFactors(20));
  for (int i = 0; i < 2000; ++i) {
    gateway.Report(
        [&](size_t s) {
          return (i / 4 + static_cast<int>(s)) % 7 == 0 ? 2.5 : 1;
        },
        At(-100 + i * 0.05));
  }
  for (int i = 0; i < 30; ++i) {
    const std::string prefix = "p" + std::to_string(i);
    const double start = 2 + 5 * i;
    const Ref<BackendServer> home = gateway.Bulk(prefix, At(start)).server;
    gateway.Report(
        [&](size_t s) { return gateway.servers()[s] == home ? 2.5 : 1; },
        At(start + 1));
    EXPECT_EQ(gateway.Bulk(prefix, At(start + 3)).server, home);
  }
}

/// @return Busiest engine of the interactive lane over the mean of the lane,
/// when gateways that have all read the same stale report place short-pause
/// streams and learn nothing of each other.
double BusiestOverMean(int gateways, bool has_shared_prefixes) {
  constexpr int kEngines = 40;
  constexpr int kRequests = 820;
  std::map<BackendServerId, int> placed;
  size_t lane = 0;
  for (int g = 0; g < gateways; ++g) {
    UnevenGateway gateway(g + 1, UnevenFactors(kEngines));
    // Every other engine was in a spell 300 ms ago.
    for (int report = 0; report < 20; ++report) {
      gateway.Report([&](size_t s) { return (s + report) % 2 == 0 ? 2.5 : 1; },
                     At(-1.25 + report * 0.05));
    }
    lane = gateway.model().speeds().interactive_engines();
    for (int i = g; i < kRequests; i += gateways) {
      const std::string prefix =
          has_shared_prefixes ? "p" + std::to_string(i) : "";
      const PlacementChoice choice = gateway.Quick(prefix, At(0));
      choice.server->OnDispatch(choice.prefill, Urgency(0), At(0));
      ++placed[choice.server->id];
      choice.server->OnPromptDone(choice.prefill, Urgency(0), At(0));
      choice.server->OnFinished(Urgency(0));
    }
  }
  int busiest = 0;
  for (const auto& [id, count] : placed) {
    busiest = std::max(busiest, count);
  }
  return busiest / (static_cast<double>(kRequests) / static_cast<double>(lane));
}

// Load pattern: many gateways and one stale report. Guards against all of them
// choosing the engines that looked best in it, or the fastest ones.
TEST(UnevenServersTest, GatewaysWithTheSameStaleReportDoNotHerd) {
  for (const bool has_shared_prefixes : {true, false}) {
    for (const int gateways : {1, 62, 410}) {
      const double ratio = BusiestOverMean(gateways, has_shared_prefixes);
      RecordProperty(
          std::to_string(gateways) + (has_shared_prefixes ? "_shared" : "_own"),
          std::to_string(ratio));
      EXPECT_LT(ratio, 2.5) << gateways << " gateways";
    }
  }
}

// Load pattern: half of the fleet half as fast. Guards against a lane of few
// fast engines for the streams with short pauses, which slow each other down
// there while the other engines have free slots.
TEST(UnevenServersTest, InteractiveLaneHasItsShareOfTheEngines) {
  std::vector<double> factors(40, 1.0);
  for (size_t i = 0; i < factors.size(); i += 2) {
    factors[i] = 2;
  }
  UnevenGateway gateway(1, factors);
  int interactive = 0;
  for (const Ref<BackendServer>& server : gateway.servers()) {
    if (server->speed.is_interactive()) {
      EXPECT_EQ(gateway.FactorOf(server), 1);
      ++interactive;
    }
  }
  // A third of the demand is interactive.
  EXPECT_NEAR(interactive, 40.0 / 3, 1);
}

// Guards against engines that change lanes with every change of the demand:
// each time, shared prefixes are read again.
TEST(UnevenServersTest, BurstOfDemandDoesNotMoveEngines) {
  UnevenGateway gateway(1, UnevenFactors(20));
  const auto lane = [&] {
    std::set<BackendServerId> ids;
    for (const Ref<BackendServer>& server : gateway.servers()) {
      if (server->speed.is_interactive()) {
        ids.insert(server->id);
      }
    }
    return ids;
  };
  const std::set<BackendServerId> before = lane();
  for (int i = 0; i < 20; ++i) {
    // A quarter more and less of the interactive demand for 1 s each.
    gateway.placement().SetDemand(
        {i % 2 == 0 ? 3750.0 : 2250.0, 6000, 300, 200});
    gateway.Exchange(At(i));
    EXPECT_EQ(lane(), before) << i;
  }
}

}  // namespace
}  // namespace camphorsail
