#include "camphorsail/membership/server_registry.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime::FromNanos(1'000'000'000) + absl::Seconds(seconds);
}

ServerAnnouncement MakeAnnouncement(uint64_t incarnation,
                                    uint64_t sequence,
                                    bool leaving = false) {
  ServerAnnouncement out;
  out.server = BackendServerId("engine-1");
  out.version = {Incarnation(incarnation), AnnouncementSequence(sequence)};
  out.leaving = leaving;
  out.description.address = "10.0.0.1:80";
  out.description.failure_domain = FailureDomainId("d1");
  out.description.targets = {ModelId("m")};
  out.load.running = static_cast<int>(sequence);
  return out;
}

// Guards against new requests for a leaving server. A newer announcement of the
// same incarnation without the flag, or a late announcement with the flag, must
// not make the server available again.
TEST(ServerRegistryTest, LeavingIsFinalWithinAnIncarnation) {
  const BackendServerId server("engine-1");
  ServerRegistry registry({});
  registry.OnAnnouncement(MakeAnnouncement(1, 5), At(0));
  EXPECT_TRUE(registry.IsAvailable(server, At(0)));
  registry.OnAnnouncement(MakeAnnouncement(1, 3, true), At(0));
  EXPECT_FALSE(registry.IsAvailable(server, At(0)));
  registry.OnAnnouncement(MakeAnnouncement(1, 9), At(0));
  EXPECT_FALSE(registry.IsAvailable(server, At(0)));
  registry.OnAnnouncement(MakeAnnouncement(2, 1), At(0));
  EXPECT_TRUE(registry.IsAvailable(server, At(0)));
  registry.OnAnnouncement(MakeAnnouncement(1, 99, true), At(0));
  EXPECT_TRUE(registry.IsAvailable(server, At(0)));
}

// Guards against new requests for a silent server, and against a removal that
// is not reported to the scheduler.
TEST(ServerRegistryTest, SilentServersGetNoWork) {
  const BackendServerId server("engine-1");
  ServerRegistry registry({});
  registry.OnAnnouncement(MakeAnnouncement(1, 1), At(0));
  EXPECT_EQ(registry.TakeChanges(At(0.1)).views.size(), 1u);
  EXPECT_TRUE(registry.TakeChanges(At(2.9)).removed.empty());
  EXPECT_TRUE(registry.IsAvailable(server, At(2.9)));
  EXPECT_FALSE(registry.IsAvailable(server, At(3)));
  const auto changes = registry.TakeChanges(At(3));
  EXPECT_EQ(changes.removed, std::vector<BackendServerId>{server});
  EXPECT_TRUE(registry.TakeChanges(At(4)).removed.empty());
  registry.OnAnnouncement(MakeAnnouncement(1, 2), At(5));
  EXPECT_EQ(registry.TakeChanges(At(5)).views.size(), 1u);
  registry.Tick(At(700));
  registry.TakeChanges(At(700));
  registry.Tick(At(701));
  EXPECT_EQ(registry.Find(server), nullptr)
      << "removed after 10 minutes of silence";
}

// Guards against lost cache events that are not reported as a gap, and against
// views whose report time is the arrival time of the announcement.
TEST(ServerRegistryTest, ViewsCarryEventsGapsAndReportTimes) {
  ServerRegistry registry({});
  ServerAnnouncement first = MakeAnnouncement(1, 1);
  registry.OnAnnouncement(first, At(0));
  EXPECT_TRUE(registry.TakeChanges(At(0)).views[0].cache_events_gap)
      << "events before the first announcement are unknown";
  ServerAnnouncement second = MakeAnnouncement(1, 2);
  second.load.cached_blocks = {1, 2};
  second.age_ms = 400;
  ServerAnnouncement third = MakeAnnouncement(1, 3);
  third.load.evicted_blocks = {2};
  third.load.cached_blocks = {3};
  third.age_ms = 400;
  registry.OnAnnouncement(second, At(1));
  registry.OnAnnouncement(third, At(2));
  ServerView view = registry.TakeChanges(At(2)).views[0];
  EXPECT_EQ(view.cached_blocks, (std::vector<uint64_t>{1, 3}));
  EXPECT_EQ(view.evicted_blocks, std::vector<uint64_t>{2});
  EXPECT_FALSE(view.cache_events_gap);
  EXPECT_EQ(view.reported_at, At(1.6));
  registry.OnAnnouncement(MakeAnnouncement(1, 5), At(2));
  view = registry.TakeChanges(At(2)).views[0];
  EXPECT_TRUE(view.cache_events_gap);
  EXPECT_TRUE(view.cached_blocks.empty());
}

// Guards against a cache index that relies on blocks although the server
// reported lost cache events. Covers the receiving VM, and a peer that gets the
// announcement with the gap merged with the following one.
TEST(ServerRegistryTest, ReportedGapReachesTheViewAndThePeers) {
  ServerRegistry registry({});
  ServerRegistry peer({});
  for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
    ServerAnnouncement announcement = MakeAnnouncement(1, sequence);
    announcement.load.cache_gap = sequence == 2;
    registry.OnAnnouncement(announcement, At(1));
    if (sequence != 2) {
      peer.OnDeltas(registry.TakeDeltas(At(1)), At(1));
    }
    if (sequence == 1) {
      registry.TakeChanges(At(1));
      peer.TakeChanges(At(1));
    }
  }
  EXPECT_TRUE(registry.TakeChanges(At(1)).views[0].cache_events_gap);
  EXPECT_TRUE(peer.TakeChanges(At(1)).views[0].cache_events_gap);
}

// Guards against a registry that grows without limit, and against removing an
// available server from a full registry.
TEST(ServerRegistryTest, CapacityIsBounded) {
  ServerRegistry registry({.capacity = 2});
  ServerAnnouncement server = MakeAnnouncement(1, 1);
  for (const char* id : {"a", "b"}) {
    server.server = BackendServerId(id);
    EXPECT_TRUE(registry.OnAnnouncement(server, At(0)).has_value());
  }
  server.server = BackendServerId("c");
  EXPECT_EQ(registry.OnAnnouncement(server, At(1)).error().kind,
            ErrorKind::kOverloaded);
  EXPECT_TRUE(registry.OnAnnouncement(server, At(4)).has_value());
  EXPECT_EQ(registry.entries().size(), 2u);
}

// Guards against servers that stay available after the relay that reports them
// became silent or a batch of its changes was lost.
TEST(ServerRegistryTest, RelayedServersNeedAllRelayChanges) {
  const BackendServerId server("engine-1");
  ServerRegistry relay({.vm = VmId("r1"), .relay = true});
  ServerRegistry daemon({.vm = VmId("d1")});
  relay.OnAnnouncement(MakeAnnouncement(1, 1), At(0));
  const auto changes = relay.TakeRelayChanges(At(0));
  ASSERT_TRUE(changes.has_value());
  EXPECT_FALSE(daemon.OnRelayChanges(*changes, At(0)))
      << "the first batch must be a whole view";
  EXPECT_TRUE(daemon.OnRelayChanges(relay.WholeView(At(0)), At(0)));
  for (int second = 1; second < 8; ++second) {
    relay.OnAnnouncement(MakeAnnouncement(1, 1 + second), At(second));
    EXPECT_TRUE(
        daemon.OnRelayHeartbeat(relay.Heartbeat(true, At(second)), At(second)));
  }
  EXPECT_TRUE(daemon.IsAvailable(server, At(8)));
  EXPECT_FALSE(daemon.IsAvailable(server, At(10.5))) << "the relay is silent";
  relay.OnAnnouncement(MakeAnnouncement(1, 50, true), At(11));
  const auto lost = relay.TakeRelayChanges(At(11));
  ASSERT_TRUE(lost.has_value());
  EXPECT_FALSE(daemon.OnRelayHeartbeat(relay.Heartbeat(false, At(12)), At(12)));
  EXPECT_FALSE(daemon.IsAvailable(server, At(12)));
  EXPECT_TRUE(daemon.OnRelayChanges(relay.WholeView(At(12)), At(12)));
  EXPECT_FALSE(daemon.IsAvailable(server, At(12)));
  EXPECT_TRUE(daemon.Find(server)->announcement.leaving);
}

// Guards against accepting announcements with missing or invalid members.
TEST(ServerAnnouncementTest, JsonRoundTripAndInvalidMembers) {
  ServerAnnouncement announcement = MakeAnnouncement(3, 4);
  announcement.description.region = "r";
  announcement.load.cached_blocks = {UINT64_MAX};
  announcement.load.kv_permille = 250;
  const nlohmann::json good = RenderServerAnnouncement(announcement);
  const auto round_trip = ParseServerAnnouncement(good);
  ASSERT_TRUE(round_trip.has_value()) << round_trip.error().message;
  EXPECT_EQ(*round_trip, announcement);
  const std::vector<std::pair<std::string, nlohmann::json>> cases = {
      {"id", 3},           {"id", "a b"},
      {"incarnation", -1}, {"capacity", 0},
      {"kind", "other"},   {"targets", nlohmann::json::array()},
      {"kv_usage", 1.5},   {"cached_blocks", "x"},
      {"leaving", 1},      {"sequence", nullptr}};
  for (const auto& [member, value] : cases) {
    nlohmann::json bad = good;
    bad[member] = value;
    const auto parsed = ParseServerAnnouncement(bad);
    ASSERT_FALSE(parsed.has_value()) << member;
    EXPECT_NE(parsed.error().message.find(member), std::string::npos);
  }
  EXPECT_FALSE(ParseServerAnnouncement(nlohmann::json::array()).has_value());
}

/// Runs a history in which two servers that start, change, leave and restart
/// announce to three VMs, and messages between the VMs are delayed, duplicated,
/// reordered and lost.
/// @return The first violated invariant; nothing when there is none.
std::optional<std::string> RunMembershipHistory(
    const std::vector<Step>& steps,
    const ServerRegistrySettings& settings) {
  struct Server {
    uint64_t incarnation = 1;
    uint64_t sequence = 0;
  };
  std::array<Server, 2> servers;
  std::vector<ServerRegistry> vms(3, ServerRegistry(settings));
  // For each VM, the incarnations that it has seen leaving.
  using LeavingIncarnations = std::set<std::pair<BackendServerId, Incarnation>>;
  std::array<LeavingIncarnations, 3> seen_leaving;
  std::vector<ServerDeltaBatch> in_transit;
  double now = 0;
  for (const Step& step : steps) {
    Server& server = servers[step.a % 2];
    ServerRegistry& vm = vms[step.b % 3];
    switch (step.kind) {
      case 0:
      case 1:
      case 2: {
        // A leaving server may still send announcements without the flag, for
        // example from a thread that has not seen the flag yet.
        ServerAnnouncement announcement = MakeAnnouncement(
            server.incarnation, ++server.sequence, step.kind == 2);
        announcement.server = BackendServerId(absl::StrCat("s", step.a % 2));
        announcement.description.capacity = 1 + step.c % 3;
        vm.OnAnnouncement(announcement, At(now));
        break;
      }
      case 3:
        ++server.incarnation;
        server.sequence = 0;
        break;
      case 4:
        in_transit.push_back(vm.TakeDeltas(At(now)));
        break;
      case 5:
        // The message stays in transit, so that it can be delivered again.
        if (!in_transit.empty()) {
          vm.OnDeltas(in_transit[step.c % in_transit.size()], At(now));
        }
        break;
      case 6:
        now += 0.1 * (step.a % 20);
        break;
      case 7:
        vm = ServerRegistry(settings);
        seen_leaving[step.b % 3].clear();
        break;
    }
    for (size_t i = 0; i < vms.size(); ++i) {
      for (const auto& [id, entry] : vms[i].entries()) {
        const ServerAnnouncement& current = entry.announcement;
        const std::pair key(id, current.version.incarnation);
        if (current.leaving) {
          seen_leaving[i].insert(key);
        }
        if (seen_leaving[i].contains(key) && vms[i].IsAvailable(id, At(now))) {
          return "a server is available again after leaving";
        }
      }
    }
  }
  // After the partitions end, rounds of digest comparisons must make the views
  // equal.
  for (int round = 0; round < 3; ++round) {
    for (ServerRegistry& from : vms) {
      for (ServerRegistry& to : vms) {
        from.OnDeltas(to.OnDigest(from.Digest(), At(now)), At(now));
      }
    }
  }
  for (const ServerRegistry& registry : vms) {
    if (!(registry.Digest() == vms[0].Digest()) ||
        registry.entries().size() != vms[0].entries().size()) {
      return "views did not converge";
    }
    for (const auto& [id, entry] : registry.entries()) {
      const ServerAnnouncement& current = entry.announcement;
      const ServerAnnouncement& first = vms[0].entries().at(id).announcement;
      if (current.leaving != first.leaving ||
          current.version.incarnation != first.version.incarnation ||
          !(current.description == first.description)) {
        return "views with equal digests differ";
      }
      for (const LeavingIncarnations& seen : seen_leaving) {
        if (seen.contains({id, current.version.incarnation}) &&
            !current.leaving) {
          return "a server is available again after leaving";
        }
      }
    }
  }
  return std::nullopt;
}

// Guards against views that still differ after a partition, in any order of
// messages, and against a server that is available again after leaving.
TEST(ServerRegistryHistoryTest, ViewsConverge) {
  EXPECT_EQ(FindViolation(3000, 8,
                          [](const std::vector<Step>& steps) {
                            return RunMembershipHistory(steps, {});
                          }),
            std::nullopt);
}

// Shows that the history check detects a registry in which a leaving server can
// become available again within its incarnation.
TEST(ServerRegistryHistoryTest, DetectsLeavingThatIsNotFinal) {
  const auto violation =
      FindViolation(3000, 8, [](const std::vector<Step>& steps) {
        return RunMembershipHistory(steps, {.leaving_is_final = false});
      });
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("available again after leaving"), std::string::npos)
      << *violation;
}

}  // namespace
}  // namespace camphorsail
