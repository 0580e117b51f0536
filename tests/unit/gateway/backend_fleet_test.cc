#include "camphorsail/gateway/backend_fleet.h"

#include <string>

#include "gtest/gtest.h"

// Tests of when a gateway begins and ends the pace of a server.
namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

class BackendFleetPaceTest : public testing::Test {
 protected:
  void Announce(const std::string& id,
                uint64_t incarnation,
                const std::string& service,
                MonoTime now) {
    ServerAnnouncement announcement;
    announcement.server = BackendServerId(id);
    announcement.version = {Incarnation(incarnation), AnnouncementSequence(1)};
    announcement.description.address = "127.0.0.1:" + std::to_string(++port_);
    announcement.description.targets = {ModelId(service)};
    announcement.description.capacity = 8;
    ASSERT_TRUE(registry_.OnAnnouncement(announcement, now));
    fleet_.Apply(registry_.TakeChanges(now), registry_, now);
  }

  bool IsPaced(const std::string& id, const std::string& service = "svc") {
    for (const Ref<BackendServer>& server :
         fleet_.ServersOf(ModelId(service))) {
      if (server->id.value() == id) {
        return server->pace.is_active();
      }
    }
    ADD_FAILURE() << "no server " << id;
    return false;
  }

  static ServerRegistrySettings Settings() {
    ServerRegistrySettings settings;
    // The servers of these tests announce themselves once.
    settings.silence_limit = absl::Minutes(1);
    return settings;
  }

  ServerRegistry registry_{Settings()};
  BackendFleet fleet_;
  int port_ = 9000;
};

// At the start of a gateway all servers are new to it, but not to the fleet.
TEST_F(BackendFleetPaceTest, ServersOfTheFirstViewAreNotPaced) {
  Announce("a", 1, "svc", At(0));
  Announce("b", 1, "svc", At(2));
  EXPECT_FALSE(IsPaced("a"));
  EXPECT_FALSE(IsPaced("b"));
}

TEST_F(BackendFleetPaceTest, NewAndReplacedServersArePaced) {
  Announce("a", 1, "svc", At(0));
  Announce("b", 1, "svc", At(1));
  Announce("a", 2, "svc", At(2));
  Announce("c", 1, "svc", At(10));
  EXPECT_TRUE(IsPaced("a"));
  EXPECT_FALSE(IsPaced("b"));
  EXPECT_TRUE(IsPaced("c"));
}

// The servers of a service that a new table names may have run for long.
TEST_F(BackendFleetPaceTest, ServersOfANewServiceAreNotPaced) {
  fleet_.SetServices({{.name = ModelId("svc")}}, At(0));
  Announce("a", 1, "svc", At(0));
  Announce("b", 1, "other", At(10));
  fleet_.SetServices({{.name = ModelId("svc")}, {.name = ModelId("other")}},
                     At(20));
  EXPECT_FALSE(IsPaced("b", "other"));
}

// The control VMs announce these servers only once a table names their service.
TEST_F(BackendFleetPaceTest, ServersAnnouncedAfterTheirServiceAreNotPaced) {
  fleet_.SetServices({{.name = ModelId("svc")}}, At(0));
  Announce("a", 1, "svc", At(0));
  fleet_.SetServices({{.name = ModelId("svc")}, {.name = ModelId("other")}},
                     At(20));
  Announce("b", 1, "other", At(20.1));
  Announce("c", 1, "svc", At(20.2));
  Announce("d", 1, "other", At(30));
  EXPECT_FALSE(IsPaced("b", "other"));
  EXPECT_TRUE(IsPaced("c"));
  EXPECT_TRUE(IsPaced("d", "other"));
}

TEST_F(BackendFleetPaceTest, AnswersToOtherGatewaysEndThePace) {
  Announce("a", 1, "svc", At(0));
  Announce("b", 1, "svc", At(10));
  GatewayServerLoad load;
  load.server = fleet_.ServersOf(ModelId("svc"))[0]->id.value() == "b"
                    ? fleet_.ServersOf(ModelId("svc"))[0]->hash
                    : fleet_.ServersOf(ModelId("svc"))[1]->hash;
  load.in_flight = 4;
  load.answers = 4;
  load.late_answers = 4;
  fleet_.OnOtherGatewaysLoads({load}, At(10.25));
  EXPECT_TRUE(IsPaced("b"));
  load.late_answers = 0;
  for (int i = 2; i < 8; ++i) {
    fleet_.OnOtherGatewaysLoads({load}, At(10 + i * 0.25));
  }
  EXPECT_FALSE(IsPaced("b"));
}

// A failure without an answer must reach the other gateways.
TEST_F(BackendFleetPaceTest, FailuresAreShared) {
  Announce("a", 1, "svc", At(0));
  Announce("b", 1, "svc", At(10));
  for (const Ref<BackendServer>& server : fleet_.ServersOf(ModelId("svc"))) {
    server->pace.OnFailure(At(11));
  }
  const std::vector<GatewayServerLoad> loads = fleet_.TakeLoads(At(11));
  ASSERT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads[0].late_answers, 1U);
  EXPECT_TRUE(fleet_.TakeLoads(At(11)).empty());
}

}  // namespace
}  // namespace camphorsail
