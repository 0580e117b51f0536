#include <string>

#include "absl/strings/str_cat.h"
#include "camphorsail/runtime/duty_feed.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr int kServers = 6;

/// The inputs of the duties on a leader with `kServers` regular servers in one
/// failure domain of the provider, and one server in a failure domain in which
/// the provider has none.
class ServerOrderInputsTest : public testing::Test {
 protected:
  ServerOrderInputsTest() {
    ServiceProfile service;
    service.name = ModelId("m");
    service.scaling.enabled = true;
    service.scaling.max_servers = 20;
    service.scaling.reclaimable_price = 0.3;
    service.scaling.prices = {{FailureDomainId("a"), 1},
                              {FailureDomainId("b"), 1}};
    table_.services.push_back(service);
  }

  static Options MakeOptions() {
    Options options;
    options.provider_duties.server_orders = true;
    return options;
  }

  void Announce(MonoTime now) {
    for (int i = 0; i <= kServers; ++i) {
      ServerAnnouncement server;
      server.server = BackendServerId(absl::StrCat("s", i));
      server.version = {Incarnation(1), AnnouncementSequence(++sequence_)};
      server.description.address = "10.0.0.1:80";
      server.description.failure_domain =
          FailureDomainId(i < kServers ? "a" : "elsewhere");
      server.description.targets = {ModelId("m")};
      EXPECT_TRUE(registry_.OnAnnouncement(server, now).has_value());
    }
  }

  /// @return The wanted servers after ten seconds.
  std::vector<WantedServers> WantedAfterTenSeconds(uint32_t gateways,
                                                   bool has_servers) {
    GatewayGroupLoad load;
    load.gateways = gateways;
    std::vector<WantedServers> wanted;
    for (int second = 1; second <= 10; ++second) {
      const MonoTime now = MonoTime() + absl::Seconds(second);
      if (has_servers) {
        Announce(now);
      }
      wanted =
          feed_.MakeInputs(registry_, table_, state_, load, now).wanted_servers;
    }
    return wanted;
  }

  DutyFeed feed_{MakeOptions()};
  ServerRegistry registry_{ServerRegistrySettings()};
  RoutingTable table_;
  DutyFeed::LeaderState state_;
  uint64_t sequence_ = 0;
};

// Load: the leader hears no gateway, so it knows no demand. Guards against a
// fleet that is given back because no demand is seen.
TEST_F(ServerOrderInputsTest, NothingChangesWithoutAGateway) {
  EXPECT_TRUE(WantedAfterTenSeconds(0, true).empty());
}

TEST_F(ServerOrderInputsTest, NothingChangesWithoutAServer) {
  EXPECT_TRUE(WantedAfterTenSeconds(1, false).empty());
}

// Guards against orders for a failure domain that the provider does not have.
TEST_F(ServerOrderInputsTest, OrdersOnlyWhereTheProviderHasServers) {
  int servers = 0;
  for (const WantedServers& wanted : WantedAfterTenSeconds(1, true)) {
    EXPECT_NE(wanted.order.subject.failure_domain,
              FailureDomainId("elsewhere"));
    if (wanted.order.subject.tenure == ServerTenure::kRegular) {
      servers += wanted.present;
    }
  }
  EXPECT_EQ(servers, kServers);
}

}  // namespace
}  // namespace camphorsail
