#include "camphorsail/orders/order_store.h"
#include "gtest/gtest.h"
#include "tests/unit/control_node/virtual_engine.h"

namespace camphorsail {
namespace {

enum class Fault : uint8_t { kKill, kFreeze, kIsolate, kNone };

/// Runs a fleet with one engine, whose desired state changes while leaders
/// fail.
class OrderFleet {
 public:
  OrderFleet(uint64_t seed, bool checks_tokens, OrderPlannerSettings settings)
      : cluster_(4, seed, settings),
        random_(seed + 1),
        engine_(server_, checks_tokens, seed + 2, &cluster_) {
    cluster_.on_engine_call = [this](int vm, const EngineCallAction& call) {
      engine_.OnCall(vm, call);
    };
  }

  const VirtualEngine& engine() const { return engine_; }
  int leaders() const { return static_cast<int>(terms_.size()); }

  bool HasDesiredState() const { return engine_.state() == desired_; }

  void RunFor(absl::Duration duration) {
    const MonoTime end = cluster_.now() + duration;
    while (cluster_.now() < end) {
      for (int i = 0; i < cluster_.vm_count(); ++i) {
        const auto& vm = cluster_.vm(i);
        if (vm.running && !vm.frozen &&
            !vm.node->replica().LeaderHint().value().empty()) {
          cluster_.Post(i, EnginesEvent{{{server_, engine_.info()}}});
        }
      }
      cluster_.RunFor(absl::Milliseconds(20));
      engine_.Step();
    }
  }

  void ChangeDesired() {
    DesiredEngine desired;
    desired.server = server_;
    desired.state.artifacts = {
        {ModelId("model"), "", std::to_string(++version_)}};
    desired_ = desired.state;
    const int leader = cluster_.Leader();
    cluster_.Post(leader < 0 ? 0 : leader,
                  SubmitEvent{1'000'000 + version_, std::move(desired)});
  }

  /// Injects a fault into the leader at a random time after a change of the
  /// desired state, and repairs it after 5 to 30 s, in which a successor can
  /// take over.
  void InjectFault(Fault fault) {
    const int leader = cluster_.Leader();
    if (leader < 0) {
      return;
    }
    terms_.insert(cluster_.vm(leader).node->replica().term());
    ChangeDesired();
    RunFor(absl::Milliseconds(50 + random_.Below(6'000)));
    if (fault == Fault::kKill) {
      cluster_.Kill(leader);
    } else if (fault == Fault::kFreeze) {
      cluster_.vm(leader).frozen = true;
    } else if (fault == Fault::kIsolate) {
      std::vector<int> rest;
      for (int i = 0; i < cluster_.vm_count(); ++i) {
        if (i != leader) {
          rest.push_back(i);
        }
      }
      cluster_.CutConnections({leader}, rest);
    }
    RunFor(absl::Milliseconds(5'000 + random_.Below(25'000)));
    if (fault == Fault::kKill) {
      cluster_.Start(leader);
    }
    cluster_.vm(leader).frozen = false;
    cluster_.RestoreConnections();
    // Between 20 and 140 s: the order lease of an earlier leader ends within
    // some of these periods and not within others.
    RunFor(absl::Milliseconds(20'000 + random_.Below(120'000)));
  }

 private:
  const BackendServerId server_{"engine"};
  ControlCluster cluster_;
  Random random_;
  VirtualEngine engine_;
  EngineState desired_;
  uint64_t version_ = 0;
  std::set<TermNumber> terms_;
};

struct Outcome {
  int violations = 0;
  int double_loads = 0;
  int applied = 0;
  int leaders = 0;
  int unfinished = 0;
};

Outcome RunHistories(bool checks_tokens,
                     OrderPlannerSettings settings,
                     uint64_t seeds) {
  Outcome outcome;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    OrderFleet fleet(seed, checks_tokens, settings);
    fleet.RunFor(absl::Seconds(70));
    for (const Fault fault : {Fault::kKill, Fault::kFreeze, Fault::kIsolate,
                              Fault::kFreeze, Fault::kIsolate, Fault::kKill}) {
      fleet.InjectFault(fault);
    }
    fleet.RunFor(absl::Minutes(5));
    outcome.violations += fleet.engine().violations();
    outcome.double_loads += fleet.engine().double_loads();
    outcome.applied += fleet.engine().applied();
    outcome.leaders += fleet.leaders();
    outcome.unfinished += fleet.HasDesiredState() ? 0 : 1;
  }
  testing::Test::RecordProperty("applied", outcome.applied);
  testing::Test::RecordProperty("leaders", outcome.leaders);
  testing::Test::RecordProperty("violations", outcome.violations);
  testing::Test::RecordProperty("double_loads", outcome.double_loads);
  return outcome;
}

// Guards against an order of an old leader that an engine applies after an
// order of the successor, against loading an artifact twice, and against an
// engine that never reaches the desired state.
TEST(OrderClusterTest, EngineThatChecksTokensFollowsOneLeaderAtATime) {
  const Outcome outcome = RunHistories(true, {}, 6);
  EXPECT_EQ(outcome.violations, 0);
  EXPECT_EQ(outcome.double_loads, 0);
  EXPECT_EQ(outcome.unfinished, 0);
  EXPECT_GT(outcome.applied, 20);
  EXPECT_GT(outcome.leaders, 12);
}

// Guards against the same faults with an engine that does not check fencing
// tokens and applies every order that arrives.
TEST(OrderClusterTest, EngineThatIgnoresTokensFollowsOneLeaderAtATime) {
  const Outcome outcome = RunHistories(false, {}, 6);
  EXPECT_EQ(outcome.violations, 0);
  EXPECT_EQ(outcome.double_loads, 0);
  EXPECT_EQ(outcome.unfinished, 0);
  EXPECT_GT(outcome.applied, 20);
  EXPECT_GT(outcome.leaders, 12);
}

// Shows that the tests above can fail: without the new leader's wait for the
// order lease, late orders of old leaders are applied.
TEST(OrderClusterTest, WithoutLeaseWaitOldOrdersAreApplied) {
  OrderPlannerSettings settings;
  settings.wait_for_order_lease = false;
  EXPECT_GT(RunHistories(false, settings, 12).violations, 0);
}

}  // namespace
}  // namespace camphorsail
