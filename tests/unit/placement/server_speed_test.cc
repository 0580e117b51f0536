#include "camphorsail/placement/server_speed.h"

#include <string>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/placement/gateway_server_load.h"
#include "camphorsail/placement/service_speeds.h"
#include "gtest/gtest.h"

// Tests of what is learned about servers that differ in speed.
namespace camphorsail {
namespace {

constexpr double kTokenMs = 4;

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

BackendServers MakeServers(int count) {
  BackendServers servers;
  for (int i = 0; i < count; ++i) {
    auto server = MakeRef<BackendServer>();
    server->id = BackendServerId("engine-" + std::to_string(i));
    server->hash = MixBits(Fnv1a64(server->id.value()));
    servers.push_back(server);
  }
  return servers;
}

/// Feeds gaps of all servers and exchanges them with no other gateway.
/// @param factor Of a server and a round: how long its work takes.
template <typename Factor>
void Learn(const BackendServers& servers,
           int rounds,
           const Factor& factor,
           ServiceSpeeds* speeds) {
  for (int round = 0; round < rounds; ++round) {
    for (size_t i = 0; i < servers.size(); ++i) {
      speeds->OnTokenTime(kTokenMs * factor(i, round), &servers[i]->speed,
                          At(round * 0.04));
    }
    if (round % 10 == 9) {
      for (const Ref<BackendServer>& server : servers) {
        server->TakeOwnLoad(At(round * 0.04));
        server->OnOtherGatewaysLoad({}, At(round * 0.04));
      }
      speeds->Update(servers);
    }
  }
}

// Guards against a lasting factor that follows the spells of a server, which
// take 15 % of the time here.
TEST(ServerSpeedTest, LastingFactorIgnoresSpells) {
  const BackendServers servers = MakeServers(6);
  ServiceSpeeds speeds;
  Learn(
      servers, 400,
      [](size_t i, int round) {
        const bool is_spell = (round / 8 + static_cast<int>(i)) % 7 == 0;
        return (i == 0 ? 1.7 : 1) * (is_spell ? 2.5 : 1);
      },
      &speeds);
  EXPECT_TRUE(speeds.is_uneven());
  EXPECT_NEAR(servers[0]->speed.lasting() / servers[1]->speed.lasting(), 1.7,
              0.15);
}

// Guards against factors that differ from 1 where servers are alike: decisions
// there stay as they were, and nothing is sent.
TEST(ServerSpeedTest, ServersThatAreAlikeHaveNoFactors) {
  const BackendServers servers = MakeServers(6);
  ServiceSpeeds speeds;
  // The step of a busy engine takes a third longer.
  Learn(
      servers, 400, [](size_t i, int) { return i < 3 ? 1 : 1.34; }, &speeds);
  EXPECT_FALSE(speeds.is_uneven());
  for (const Ref<BackendServer>& server : servers) {
    EXPECT_EQ(server->speed.lasting(), 1);
    EXPECT_TRUE(server->TakeOwnLoad(At(99)).speed.IsEmpty());
  }
}

// Guards against the service's usual time and the servers' factors drifting
// together: after long, the product is still the time that was measured.
TEST(ServerSpeedTest, FactorsDoNotDrift) {
  const BackendServers servers = MakeServers(4);
  ServiceSpeeds speeds;
  const auto factor = [](size_t i, int) { return i < 2 ? 1.0 : 2.0; };
  Learn(servers, 400, factor, &speeds);
  const double early = servers[3]->speed.lasting();
  Learn(servers, 20000, factor, &speeds);
  EXPECT_NEAR(servers[3]->speed.lasting(), early, early * 0.12);
  EXPECT_NEAR(servers[3]->speed.lasting() / servers[0]->speed.lasting(), 2,
              0.2);
}

// Guards against a server that stays slow in the estimates after it was moved
// to another host.
TEST(ServerSpeedTest, LastingFactorFollowsALastingChange) {
  const BackendServers servers = MakeServers(6);
  ServiceSpeeds speeds;
  Learn(
      servers, 400, [](size_t i, int) { return i == 0 ? 2 : 1; }, &speeds);
  EXPECT_GT(servers[0]->speed.lasting(), 1.7);
  Learn(
      servers, 1200, [](size_t, int) { return 1; }, &speeds);
  EXPECT_LT(servers[0]->speed.lasting(), 1.25);
}

// Guards against gateways that divide the servers differently: one that has
// measured nothing itself takes the factors of the others.
TEST(ServerSpeedTest, GatewaysShareTheLastingFactor) {
  const BackendServers measured = MakeServers(4);
  const BackendServers told = MakeServers(4);
  ServiceSpeeds speeds;
  ServiceSpeeds told_speeds;
  for (int i = 0; i < 40; ++i) {
    Learn(
        measured, 40, [](size_t s, int) { return s == 0 ? 2 : 1; }, &speeds);
    for (size_t s = 0; s < measured.size(); ++s) {
      speeds.OnTokenTime(kTokenMs * (s == 0 ? 2 : 1), &measured[s]->speed,
                         At(100));
      const auto load = UnpackBytes<GatewayServerLoad>(
          PackBytes(measured[s]->TakeOwnLoad(At(100))));
      ASSERT_TRUE(load);
      told[s]->OnOtherGatewaysLoad(*load, At(100));
    }
  }
  told_speeds.Update(told);
  EXPECT_TRUE(told_speeds.is_uneven());
  EXPECT_NEAR(told[0]->speed.lasting(), measured[0]->speed.lasting(), 0.1);
}

// Guards against estimates by a stale report: a spell is over sooner than the
// report is old, and is short beside a long request.
TEST(ServerSpeedTest, SpellFadesWithItsAgeAndDuringTheRequest) {
  const BackendServers servers = MakeServers(1);
  ServiceSpeeds speeds;
  ServerSpeed& speed = servers[0]->speed;
  // Spells of 200 ms every 1.4 s, seen every 50 ms.
  int report = 0;
  for (; report < 4000; ++report) {
    speeds.OnReport(report % 28 < 4 ? 2.5 : 1, &speed, At(report * 0.05));
  }
  EXPECT_NEAR(speeds.spell_share(), 1 / 7.0, 0.05);
  EXPECT_NEAR(speeds.spell_slowdown(), 2.5, 0.01);
  EXPECT_GT(speeds.spell_length(), absl::Milliseconds(80));
  EXPECT_LT(speeds.spell_length(), absl::Milliseconds(400));
  const MonoTime now = At(report * 0.05);
  speeds.OnReport(2.5, &speed, now);
  const absl::Duration brief = absl::Milliseconds(10);
  EXPECT_GT(speeds.SlownessOf(speed, brief, now), 2.2);
  EXPECT_LT(speeds.SlownessOf(speed, brief, now + absl::Seconds(2)), 1.3);
  EXPECT_LT(speeds.SlownessOf(speed, absl::Seconds(5), now), 1.35);
}

}  // namespace
}  // namespace camphorsail
