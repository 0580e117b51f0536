#include "camphorsail/routing/routing_table.h"

#include "camphorsail/base/msgpack_bytes.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

RoutingTable ValidTable() {
  RoutingTable table;
  table.version = 3;
  table.services = {{.name = ModelId("orders")}, {.name = ModelId("engine")}};
  Route route;
  route.name = "r";
  route.host = "a.example";
  route.path_prefix = "/x/";
  route.targets = {{ModelId("orders"), 1}};
  route.timeout_ms = 1000;
  table.routes = {route};
  table.requires_keys = true;
  table.accounts = {{ClientAccountId("one"), {"k1"}, 1},
                    {ClientAccountId("two"), {"k2"}, std::nullopt}};
  table.document = "text";
  return table;
}

TEST(RoutingTableTest, ValidTableSurvivesItsEncoding) {
  const RoutingTable table = ValidTable();
  ASSERT_TRUE(table.Validate());
  const auto decoded = UnpackBytes<RoutingTable>(PackBytes(table));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, table);
}

TEST(RoutingTableTest, RefusesWhatCannotBeFollowed) {
  const auto refuses = [](const char* what, const auto& change) {
    RoutingTable table = ValidTable();
    change(&table);
    const Expected<void> valid = table.Validate();
    EXPECT_FALSE(valid) << what;
    if (!valid) {
      EXPECT_EQ(valid.error().kind, ErrorKind::kSettingsInvalid) << what;
    }
  };
  refuses("unknown service", [](RoutingTable* table) {
    table->routes[0].targets[0].service = ModelId("none");
  });
  refuses("two routes with one host and prefix", [](RoutingTable* table) {
    table->routes.push_back(table->routes[0]);
  });
  refuses("weights with sum 0",
          [](RoutingTable* table) { table->routes[0].targets[0].weight = 0; });
  refuses("negative weight", [](RoutingTable* table) {
    table->routes[0].targets.push_back({ModelId("engine"), -1});
  });
  refuses("timeout",
          [](RoutingTable* table) { table->routes[0].timeout_ms = 0; });
  refuses("prefix without final slash",
          [](RoutingTable* table) { table->routes[0].path_prefix = "/x"; });
  refuses("key of two accounts",
          [](RoutingTable* table) { table->accounts[1].api_keys = {"k1"}; });
  refuses("service twice", [](RoutingTable* table) {
    table->services.push_back(table->services[0]);
  });
}

}  // namespace
}  // namespace camphorsail
