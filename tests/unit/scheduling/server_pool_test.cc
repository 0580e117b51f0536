#include "camphorsail/scheduling/server_pool.h"

#include <memory>
#include <string>

#include "camphorsail/scheduling/prefix_index.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime::FromNanos(static_cast<int64_t>(seconds * 1e9));
}

std::unique_ptr<ServerState> MakeServer(const std::string& id, int slots) {
  ServerView view;
  view.server = BackendServerId(id);
  // As if two VMs shared the server.
  view.capacity = slots * 2;
  view.reported_at = At(0);
  auto server =
      std::make_unique<ServerState>(view, HealthVariant::kOutlierDetection);
  server->slots = slots;
  return server;
}

// Guards against missing the only server that is vacant for a tier, and against
// offering servers that are not vacant for it.
TEST(ServerPoolTest, FindsTheOnlyVacancyOfATier) {
  ServerPool pool;
  Random random(1);
  const auto full = MakeServer("full", 1);
  const auto low = MakeServer("low", 1);
  pool.Add(full.get(), At(0));
  pool.Add(low.get(), At(0));
  full->OnDispatch(Tier(0), At(0));
  low->OnDispatch(Tier(2), At(0));
  pool.Update(full.get(), At(0));
  pool.Update(low.get(), At(0));
  EXPECT_EQ(pool.free_slots(), 0);
  EXPECT_EQ(pool.SampleVacant(Tier(3), &random), nullptr);
  EXPECT_EQ(pool.SampleVacant(Tier(1), &random), low.get());
  low->OnDispatch(Tier(1), At(0));
  pool.Update(low.get(), At(0));
  EXPECT_EQ(pool.preempted_requests(), 1);
  EXPECT_EQ(pool.SampleVacant(Tier(1), &random), nullptr);
}

// Guards against wrong sums of slots after the removal of a server that still
// runs requests.
TEST(ServerPoolTest, RemovalRestoresTheSums) {
  ServerPool pool;
  Random random(1);
  const auto a = MakeServer("a", 2);
  const auto b = MakeServer("b", 3);
  pool.Add(a.get(), At(0));
  pool.Add(b.get(), At(0));
  EXPECT_EQ(pool.total_slots(), 5);
  a->OnDispatch(Tier(1), At(0));
  pool.Update(a.get(), At(0));
  pool.Remove(a.get());
  EXPECT_EQ(pool.total_slots(), 3);
  EXPECT_EQ(pool.free_slots(), 3);
  EXPECT_EQ(pool.SampleVacant(Tier(3), &random), b.get());
}

// Guards against this VM's own requests that are counted as load from other VMs
// because they were sent after the server made its report.
TEST(ServerStateTest, OtherVmsRequestsLeaveOutOwnRequests) {
  const auto server = MakeServer("a", 8);
  for (int i = 0; i < 4; ++i) {
    server->OnDispatch(Tier(1), At(1));
  }
  ServerView view;
  view.server = BackendServerId("a");
  view.capacity = 16;
  view.reported_running = 7;
  view.reported_at = At(2);
  for (int i = 0; i < 3; ++i) {
    server->OnDispatch(Tier(1), At(2.2));
  }
  server->ApplyView(view);
  EXPECT_DOUBLE_EQ(server->OtherVmsRequests(At(2)), 3);
  EXPECT_LT(server->OtherVmsRequests(At(5)), 2);
  EXPECT_DOUBLE_EQ(server->OtherVmsRequests(At(8)), 0);
}

// Guards against routing by a prefix that the server has evicted or has
// probably lost.
TEST(PrefixIndexTest, FollowsEvictionsLostEventsAndAge) {
  const auto server = MakeServer("a", 2);
  PrefixIndex index;
  index.Record({1, 2}, server.get(), At(0));
  EXPECT_EQ(index.Find({1, 2, 3, 4}, At(0)).server, server.get());
  EXPECT_DOUBLE_EQ(index.Find({1, 2, 3, 4}, At(0)).fraction, 0.5);
  index.Evict({2}, server.get());
  EXPECT_DOUBLE_EQ(index.Find({1, 2}, At(0)).fraction, 0.5);
  index.OnCacheEventsLost(server.get(), At(0));
  EXPECT_DOUBLE_EQ(index.Find({1, 2}, At(0)).fraction, 0.25);
  EXPECT_EQ(index.Find({1, 2}, At(121)).server, nullptr);
  index.RemoveServer(server.get());
  EXPECT_EQ(index.Find({1, 2}, At(0)).server, nullptr);
}

}  // namespace
}  // namespace camphorsail
