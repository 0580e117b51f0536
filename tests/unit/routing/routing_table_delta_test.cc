#include "camphorsail/routing/routing_table_delta.h"

#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/random.h"
#include "camphorsail/routing/routing_history.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

Route MakeRoute(int number, int64_t timeout_ms) {
  Route route;
  route.name = "r" + std::to_string(number);
  route.host = "a.example";
  route.path_prefix = "/p" + std::to_string(number) + "/";
  route.targets = {{ModelId("orders"), 1}};
  route.timeout_ms = timeout_ms;
  return route;
}

RoutingTable MakeTable(uint64_t version, int routes) {
  RoutingTable table;
  table.version = version;
  table.services = {{.name = ModelId("orders")}};
  table.accounts = {{ClientAccountId("one"), {"k1"}, 1}};
  table.document = std::string(100'000, 'x');
  for (int i = 0; i < routes; ++i) {
    table.routes.push_back(MakeRoute(i, 1000));
  }
  return table;
}

/// Changes a table at random, as operators do.
void Mutate(Random* random, RoutingTable* table) {
  table->version += 1 + random->Below(5);
  for (int i = 0; i < 5; ++i) {
    const size_t at = random->Below(table->routes.size());
    switch (random->Below(5)) {
      case 0:
        table->routes.erase(table->routes.begin() +
                            static_cast<std::ptrdiff_t>(at));
        break;
      case 1:
        table->routes.push_back(
            MakeRoute(static_cast<int>(random->Below(1'000'000)) + 1000, 500));
        break;
      case 2:
        table->routes[at].timeout_ms += 1;
        break;
      case 3:
        table->accounts[0].api_keys = {std::to_string(random->Next())};
        break;
      default:
        std::swap(table->routes[0], table->routes[at]);
    }
  }
  table->limits.max_body_bytes += random->Below(2) == 0 ? 1 : 0;
}

// Guards against gateways whose table differs from the replicated one after a
// long series of changes.
TEST(RoutingTableDeltaTest, SeriesOfDeltasGivesTheSameTable) {
  Random random(11);
  RoutingTable current = MakeTable(1, 40);
  RoutingTable gateway = current;
  for (int i = 0; i < 300; ++i) {
    const RoutingTable base = current;
    Mutate(&random, &current);
    const RoutingTableDelta delta = RoutingTableDelta::Between(base, current);
    const auto decoded = UnpackBytes<RoutingTableDelta>(PackBytes(delta));
    ASSERT_TRUE(decoded);
    const Expected<RoutingTable> next = decoded->ApplyTo(gateway);
    ASSERT_TRUE(next) << next.error().message;
    gateway = *next;
    EXPECT_EQ(gateway.version, current.version);
    EXPECT_EQ(gateway.routes.size(), current.routes.size());
  }
}

TEST(RoutingTableDeltaTest, RefusesAnotherBase) {
  const RoutingTable base = MakeTable(1, 10);
  const RoutingTable table = MakeTable(2, 12);
  const RoutingTableDelta delta = RoutingTableDelta::Between(base, table);
  EXPECT_FALSE(delta.ApplyTo(MakeTable(3, 10)));
  // The same version with other content is found by the digest.
  EXPECT_FALSE(delta.ApplyTo(MakeTable(1, 9)));
  EXPECT_TRUE(delta.ApplyTo(base));
}

// Load pattern: a long list of routes that changes often. The cost of a change
// must not grow with the number of routes, nor contain the operators' document.
TEST(RoutingTableDeltaTest, SizeDependsOnTheChangeAlone) {
  const RoutingTable base = MakeTable(1, 1400);
  RoutingTable table = base;
  table.version = 2;
  table.routes[700].timeout_ms = 77;
  const size_t bytes =
      PackBytes(RoutingTableDelta::Between(base, table)).size();
  EXPECT_LT(bytes, 1000U);
}

TEST(RoutingHistoryTest, GivesDeltasOrTheWholeTable) {
  RoutingHistory history;
  EXPECT_EQ(history.version(), 0U);
  for (uint64_t version = 1; version <= 5; ++version) {
    history.OnTable(MakeRef<SharedRoutingTable>(
        MakeTable(version, 10 + static_cast<int>(version))));
  }
  history.OnTable(MakeRef<SharedRoutingTable>(MakeTable(3, 10)));
  EXPECT_EQ(history.version(), 5U);
  const auto deltas = history.DeltasSince(3);
  ASSERT_TRUE(deltas);
  EXPECT_EQ(deltas->size(), 2U);
  EXPECT_FALSE(history.DeltasSince(0));
  EXPECT_TRUE(history.TableForGateway().document.empty());
  EXPECT_EQ(history.TableForGateway().routes.size(), 15U);
}

// Guards against memory that grows with every change of a long day.
TEST(RoutingHistoryTest, DropsTheOldestDeltas) {
  RoutingHistory history;
  for (uint64_t version = 1; version <= 40; ++version) {
    RoutingTable table = MakeTable(version, 1000);
    for (Route& route : table.routes) {
      route.timeout_ms = static_cast<int64_t>(version);
    }
    history.OnTable(MakeRef<SharedRoutingTable>(table));
  }
  EXPECT_FALSE(history.DeltasSince(10));
  EXPECT_TRUE(history.DeltasSince(39));
}

}  // namespace
}  // namespace camphorsail
