#include "camphorsail/runtime/server_directory.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

/// A directory with a record of what it tells the scheduler and the peers.
class ServerDirectoryTest : public testing::Test {
 protected:
  static ServerAnnouncement MakeAnnouncement(
      const std::string& id,
      uint64_t sequence,
      const std::string& service = "orders") {
    ServerAnnouncement announcement;
    announcement.server = BackendServerId(id);
    announcement.version = {Incarnation(7), AnnouncementSequence(sequence)};
    announcement.description.address = "10.0.0.1:80";
    announcement.description.failure_domain = FailureDomainId("d1");
    announcement.description.kind = ServerKind::kService;
    announcement.description.targets = {ModelId(service)};
    announcement.description.capacity = 8;
    return announcement;
  }

  void NameServices(const std::vector<ServiceProfile>& services, MonoTime now) {
    directory_.SetServices(services, now);
  }

  /// @return The service of the server in the last view that the scheduler was
  /// given; empty when there is none.
  std::string ServiceOf(const std::string& id) const {
    std::string service;
    for (const ServerView& view : views_) {
      if (view.server.value() == id) {
        service = view.targets.front().value();
      }
    }
    return service;
  }

  ServerDirectory::Hooks MakeHooks() {
    ServerDirectory::Hooks hooks;
    hooks.on_changes = [this](const ServerRegistry::Changes& changes) {
      views_.insert(views_.end(), changes.views.begin(), changes.views.end());
      removed_.insert(removed_.end(), changes.removed.begin(),
                      changes.removed.end());
    };
    hooks.on_targets = [](const TargetsEvent&) {};
    hooks.send_deltas = [this](const ServerDeltaBatch& deltas) {
      deltas_.push_back(deltas);
    };
    hooks.send_digest = [](const RegistryDigest&) {};
    return hooks;
  }

  std::vector<ServerView> views_;
  std::vector<BackendServerId> removed_;
  std::vector<ServerDeltaBatch> deltas_;
  ServerDirectory directory_{ServerRegistrySettings(), MakeHooks()};
};

const std::vector<ServiceProfile>& Services() {
  static const std::vector<ServiceProfile>* const services =
      new std::vector<ServiceProfile>{
          {.name = ModelId("orders")},
          {.name = ModelId("chat"), .is_engine = true}};
  return *services;
}

// Guards against another sender that takes a working server out of service, or
// to another address, with an announcement under its id.
TEST_F(ServerDirectoryTest, AnotherSenderDoesNotChangeAServer) {
  NameServices(Services(), At(0));
  ASSERT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  ServerAnnouncement other = MakeAnnouncement("s", 50, "chat");
  other.description.kind = ServerKind::kModelEngine;
  EXPECT_FALSE(directory_.Register(other, At(1)));
  other = MakeAnnouncement("s", 51);
  other.description.address = "10.0.0.2:80";
  EXPECT_FALSE(directory_.Register(other, At(1)));
  other = MakeAnnouncement("s", 52);
  other.description.failure_domain = FailureDomainId("d2");
  EXPECT_FALSE(directory_.Register(other, At(1)));
  other = MakeAnnouncement("s", 53, "none");
  EXPECT_FALSE(directory_.Register(other, At(1)));
  other.leaving = true;
  EXPECT_FALSE(directory_.Register(other, At(1)));

  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 2), At(1.2)));
  EXPECT_EQ(ServiceOf("s"), "orders");
  EXPECT_TRUE(removed_.empty());
  EXPECT_EQ(directory_.Resolve(BackendServerId("s"), Incarnation(7)).host_port,
            "10.0.0.1:80");
}

// Guards against an announcement of another sender that is the first one a
// daemon hears after its start, and that keeps the real server out.
TEST_F(ServerDirectoryTest, UnnamedServiceDoesNotTakeThePlaceOfAServer) {
  NameServices(Services(), At(0));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 90, "none"), At(0)));
  EXPECT_TRUE(deltas_.empty()) << "other VMs must not hear of it";
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 4), At(0.5)));
  EXPECT_EQ(ServiceOf("s"), "orders");
}

// Guards against a server that is not used, or only with its next announcement,
// because it announced itself before the routing table named its service.
TEST_F(ServerDirectoryTest, HeldServersAreUsedOnceTheirServiceIsNamed) {
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("silent", 1), At(0)));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 2), At(1)));
  EXPECT_TRUE(views_.empty());
  NameServices(Services(), At(3.5));
  ASSERT_EQ(views_.size(), 1U);
  EXPECT_EQ(views_[0].server, BackendServerId("s"));
}

// The same for a server that has been silent for a while, for example during a
// partition.
TEST_F(ServerDirectoryTest, AnotherSenderDoesNotChangeASilentServer) {
  NameServices(Services(), At(0));
  ASSERT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  directory_.Tick(At(4));
  ServerAnnouncement other = MakeAnnouncement("s", 50, "none");
  EXPECT_TRUE(directory_.Register(other, At(4))) << "held";
  other.leaving = true;
  EXPECT_FALSE(directory_.Register(other, At(4)));
  views_.clear();
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 2), At(5)));
  EXPECT_EQ(ServiceOf("s"), "orders");
}

// Guards against servers that no gateway hears of, because they announce
// themselves to a VM that has restarted without a quorum.
TEST_F(ServerDirectoryTest, ServersAreAcceptedAfterAWaitForTheTable) {
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 2), At(1.2)));
  EXPECT_TRUE(views_.empty());
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 3), At(3.6)));
  EXPECT_EQ(ServiceOf("s"), "orders");
}

// Guards against a server that is lost when a table stops naming its service
// and a later one names it again, and against one that cannot leave meanwhile.
TEST_F(ServerDirectoryTest, ServersOfADroppedServiceStayKnown) {
  NameServices(Services(), At(0));
  ASSERT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  NameServices({}, At(1));
  ServerAnnouncement leaving = MakeAnnouncement("s", 2);
  EXPECT_TRUE(directory_.Register(leaving, At(1)));
  EXPECT_TRUE(removed_.empty());
  leaving.leaving = true;
  EXPECT_TRUE(directory_.Register(leaving, At(2)));
  EXPECT_EQ(removed_, std::vector<BackendServerId>{BackendServerId("s")});
}

// Guards against a server of a model engine's service that names no models, and
// against a kind that changes with each announcement.
TEST_F(ServerDirectoryTest, TheServiceDecidesTheKind) {
  NameServices(Services(), At(0));
  EXPECT_FALSE(directory_.Register(MakeAnnouncement("e", 1, "chat"), At(0)));
  ServerAnnouncement engine = MakeAnnouncement("e", 1, "chat");
  engine.description.kind = ServerKind::kModelEngine;
  EXPECT_TRUE(directory_.Register(engine, At(0)));
  ServerAnnouncement plain = MakeAnnouncement("s", 1);
  plain.description.kind = ServerKind::kModelEngine;
  EXPECT_TRUE(directory_.Register(plain, At(0)));
  ASSERT_EQ(views_.size(), 2U);
  EXPECT_EQ(views_[0].kind, ServerKind::kModelEngine);
  EXPECT_EQ(views_[1].kind, ServerKind::kService);
}

// Guards against memory that grows with the ids that another sender makes up.
TEST_F(ServerDirectoryTest, HeldServersAreBounded) {
  NameServices(Services(), At(0));
  for (size_t i = 0; i < HeldAnnouncements::kMaxServers; ++i) {
    ASSERT_TRUE(directory_.Register(
        MakeAnnouncement("s" + std::to_string(i), 1, "none"), At(0)));
  }
  const Expected<void> refused =
      directory_.Register(MakeAnnouncement("more", 1, "none"), At(1));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, ErrorKind::kOverloaded);
  EXPECT_TRUE(
      directory_.Register(MakeAnnouncement("more", 1, "none"), At(3.5)));
}

// Guards against a late deregistration of an earlier start that takes the
// server's present start out of service.
TEST_F(ServerDirectoryTest, DepartureOfAnEarlierIncarnationLeavesTheServer) {
  const BackendServerId server("s");
  NameServices(Services(), At(0));
  ASSERT_TRUE(directory_.Register(MakeAnnouncement("s", 1), At(0)));
  EXPECT_EQ(directory_.Leave(server, Incarnation(6), At(1)).version.incarnation,
            Incarnation(6));
  EXPECT_TRUE(removed_.empty());
  const ServerDeparture departure =
      directory_.Leave(server, Incarnation(7), At(2));
  EXPECT_EQ(removed_, std::vector<BackendServerId>{server});
  EXPECT_EQ(departure.description.address, "10.0.0.1:80");
  EXPECT_EQ(departure.version.sequence, AnnouncementSequence(1));
}

// Guards against requests for a server that has left, when the VM that is told
// so has just started and has not heard of the server.
TEST_F(ServerDirectoryTest, UnknownServerThatLeavesStaysOut) {
  const BackendServerId server("s");
  NameServices(Services(), At(0));
  const ServerDeparture departure =
      directory_.Leave(server, Incarnation(7), At(0));
  EXPECT_EQ(departure.version.incarnation, Incarnation(7));
  ASSERT_EQ(deltas_.size(), 1U) << "the other VMs may know the server";
  EXPECT_TRUE(deltas_[0].announcements.at(0).leaving);
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 4), At(1)));
  EXPECT_TRUE(views_.empty());
  ServerAnnouncement next = MakeAnnouncement("s", 1);
  next.version.incarnation = Incarnation(8);
  EXPECT_TRUE(directory_.Register(next, At(2)));
  EXPECT_EQ(views_.size(), 1U) << "the next start is another server";
}

// Guards against a late announcement that brings a server back that left before
// this VM started, and against one that a peer without the departure forwards.
TEST_F(ServerDirectoryTest, RecordedDeparturesKeepServersOut) {
  const absl::Time wall = absl::FromUnixSeconds(1'800'000'000);
  NameServices(Services(), At(0));
  directory_.OnDepartures({{MakeDeparture(MakeAnnouncement("s", 4)),
                            absl::ToUnixMicros(wall - absl::Seconds(20)), 1}},
                          wall, At(0));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 3), At(1)));
  EXPECT_TRUE(directory_.Register(MakeAnnouncement("s", 9), At(2)));
  ServerDeltaBatch forwarded;
  forwarded.announcements = {MakeAnnouncement("s", 10)};
  directory_.OnDeltas(forwarded, At(3));
  EXPECT_TRUE(views_.empty());

  ASSERT_TRUE(directory_.Register(MakeAnnouncement("t", 1), At(3)));
  ASSERT_EQ(views_.size(), 1U);
  directory_.OnDepartures(
      {{MakeDeparture(MakeAnnouncement("t", 1)), absl::ToUnixMicros(wall), 2}},
      wall, At(3));
  EXPECT_EQ(removed_, std::vector<BackendServerId>{BackendServerId("t")})
      << "a departure that another VM acknowledged";
}

// Guards against VMs that never agree after a restart, and so send each other
// their views again and again: a restarted VM must have the digest of one that
// heard the server itself.
TEST_F(ServerDirectoryTest, RestartedVmHasTheDigestOfTheOthers) {
  const absl::Time wall = absl::FromUnixSeconds(1'800'000'000);
  NameServices(Services(), At(0));
  ASSERT_TRUE(directory_.Register(MakeAnnouncement("s", 4), At(0)));
  const ServerDeparture departure =
      directory_.Leave(BackendServerId("s"), std::nullopt, At(1));
  ServerDirectory restarted{ServerRegistrySettings(), MakeHooks()};
  restarted.OnDepartures({{departure, absl::ToUnixMicros(wall), 1}}, wall,
                         At(5));
  directory_.Inspect([&](const ServerRegistry& registry) {
    EXPECT_TRUE(restarted.OnDigest(registry.Digest(), At(5)).empty());
  });
}

}  // namespace
}  // namespace camphorsail
