#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "camphorsail/membership/relay_plan.h"
#include "camphorsail/membership/server_subset.h"
#include "camphorsail/membership/server_tracking_cost.h"
#include "camphorsail/membership/vm_directory.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

std::vector<ServerCandidate> MakeCandidates(int count) {
  std::vector<ServerCandidate> out;
  out.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    // Every fourth server has three times the weight.
    out.push_back({BackendServerId(absl::StrCat("engine-", i)),
                   FailureDomainId(absl::StrCat("d", i % 3)),
                   i % 4 == 0 ? 3.0 : 1.0});
  }
  return out;
}

// Guards against the loss of one server changing which other servers the
// daemons use. Requests would then reach servers without their prefixes in the
// cache.
TEST(ServerSubsetTest, LossOfOneServerReplacesOnlyThatServer) {
  const auto all = MakeCandidates(200);
  for (int daemon = 0; daemon < 20; ++daemon) {
    const ServerSubset subset(VmId(absl::StrCat("vm-", daemon)), 16);
    const auto before = subset.Choose(all);
    ASSERT_EQ(before.size(), 16u);
    auto rest = all;
    std::erase_if(rest,
                  [&](const auto& c) { return c.server == before.front(); });
    const auto after = subset.Choose(rest);
    std::vector<BackendServerId> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(),
                          after.end(), std::back_inserter(kept));
    EXPECT_EQ(kept.size(), 15u);
  }
}

// Guards against subsets that leave servers unused or ignore the weights.
TEST(ServerSubsetTest, LoadFollowsTheWeights) {
  const auto all = MakeCandidates(100);
  std::map<BackendServerId, int> uses;
  for (int daemon = 0; daemon < 1000; ++daemon) {
    const ServerSubset subset(VmId(absl::StrCat("vm-", daemon)), 5);
    for (const BackendServerId& server : subset.Choose(all)) {
      ++uses[server];
    }
  }
  EXPECT_EQ(uses.size(), 100u);
  int heavy = 0;
  for (int i = 0; i < 100; i += 4) {
    heavy += uses[BackendServerId(absl::StrCat("engine-", i))];
  }
  // A quarter of the servers have half of the total weight, so they should get
  // half of the 5000 choices.
  EXPECT_NEAR(heavy, 2500, 150);
}

// Guards against a subset in a single failure domain, which is lost with that
// domain.
TEST(ServerSubsetTest, SpansTwoFailureDomains) {
  std::vector<ServerCandidate> candidates = MakeCandidates(60);
  for (ServerCandidate& candidate : candidates) {
    candidate.failure_domain = FailureDomainId("d0");
  }
  candidates.back().failure_domain = FailureDomainId("d1");
  for (int daemon = 0; daemon < 50; ++daemon) {
    const auto chosen =
        ServerSubset(VmId(absl::StrCat("vm-", daemon)), 2).Choose(candidates);
    EXPECT_TRUE(std::find(chosen.begin(), chosen.end(),
                          candidates.back().server) != chosen.end());
  }
}

std::vector<VmRegistration> MakeVms(int relays) {
  std::vector<VmRegistration> vms;
  for (int i = 0; i < 40; ++i) {
    VmRegistration vm;
    vm.vm = VmId(absl::StrCat("vm-", i));
    vm.region = i % 2 == 0 ? "north" : "south";
    vm.failure_domain = FailureDomainId(absl::StrCat("d", i / 2 % 3));
    vm.relay = i % 2 == 0 && i / 2 < relays;
    vm.entry = !vm.relay;
    vms.push_back(vm);
  }
  return vms;
}

// Guards against assigning two relays in one failure domain, and against
// assigning a relay of another region.
TEST(RelayPlanTest, TwoRelaysOfTheRegionInTwoDomains) {
  const auto vms = MakeVms(4);
  const RelayPlan plan(vms);
  std::map<VmId, VmRegistration> by_id;
  for (const VmRegistration& vm : vms) {
    by_id[vm.vm] = vm;
  }
  for (int i = 0; i < 200; ++i) {
    const auto relays = plan.ReceiversForServer(
        BackendServerId(absl::StrCat("engine-", i)), "north");
    ASSERT_EQ(relays.size(), 2u);
    EXPECT_TRUE(by_id[relays[0]].relay && by_id[relays[1]].relay);
    EXPECT_EQ(by_id[relays[0]].region, "north");
    EXPECT_NE(by_id[relays[0]].failure_domain, by_id[relays[1]].failure_domain);
  }
  EXPECT_FALSE(plan.HasRelays("south"));
  EXPECT_TRUE(plan.RelaysForDaemon(VmId("vm-1"), "south").empty());
  EXPECT_EQ(
      plan.ReceiversForServer(BackendServerId("engine-1"), "south").size(), 2u);
  EXPECT_TRUE(
      plan.ReceiversForServer(BackendServerId("engine-1"), "west").empty());
}

// Guards against message sizes and rates that exceed the target of 2 KB/s for
// each daemon at the target size of the fleet.
TEST(RelayPlanTest, ComputedCostIsWithinTheTarget) {
  EXPECT_LT(RelayBytesPerDaemon({}), 2000);
}

// Guards against encoded messages that exceed the target of 2 KB/s for each
// daemon at the target size of the fleet. The processor time, whose target is
// 1 % of a core, is recorded.
TEST(ServerTrackingCostTest, MeasuredCostIsWithinTheTarget) {
  const ServerTrackingCost cost = SimulateServerTracking(410, 1500);
  EXPECT_EQ(cost.known_servers, 750u);
  EXPECT_LE(cost.relays, 14);
  EXPECT_GT(cost.bytes_per_s, 0);
  EXPECT_LT(cost.max_bytes_per_s, 2000);
  EXPECT_GT(cost.cpu_ratio, 0);
  RecordProperty("bytes_per_s", std::to_string(cost.bytes_per_s));
  RecordProperty("cpu_ratio", std::to_string(cost.cpu_ratio));
}

// Guards against a registration with an older incarnation of a VM replacing the
// registration with a newer one.
TEST(VmDirectoryTest, HigherIncarnationWins) {
  VmDirectory directory;
  VmRegistration vm{VmId("vm"), Incarnation(2), VmState::kActive,
                    MinuteIndex(5)};
  EXPECT_TRUE(directory.Apply(vm).has_value());
  vm.incarnation = Incarnation(1);
  EXPECT_FALSE(directory.Apply(vm).has_value());
  vm.incarnation = Incarnation(3);
  vm.state = VmState::kLeft;
  EXPECT_FALSE(directory.Apply(vm).has_value());
  vm.incarnation = Incarnation(2);
  EXPECT_TRUE(directory.Apply(vm).has_value());
  EXPECT_TRUE(directory.Active().empty());
  EXPECT_EQ(*VmDirectory::Restore(directory.Snapshot()), directory);
}

}  // namespace
}  // namespace camphorsail
