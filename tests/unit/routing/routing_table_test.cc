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
  table.requires_api_keys = true;
  table.accounts = {{ClientAccountId("one"), {"k1"}, 1},
                    {ClientAccountId("two"), {"k2"}, std::nullopt}};
  table.document = "text";
  return table;
}

TEST(RoutingTableTest, ValidTableRoundTripsThroughEncoding) {
  const RoutingTable table = ValidTable();
  ASSERT_TRUE(table.Validate());
  const auto decoded = UnpackBytes<RoutingTable>(PackBytes(table));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, table);
}

TEST(RoutingTableTest, RejectsInvalidTables) {
  const auto expect_invalid = [](const char* what, const auto& change) {
    RoutingTable table = ValidTable();
    change(&table);
    const Expected<void> valid = table.Validate();
    EXPECT_FALSE(valid) << what;
    if (!valid) {
      EXPECT_EQ(valid.error().kind, ErrorKind::kSettingsInvalid) << what;
    }
  };
  expect_invalid("unknown service", [](RoutingTable* table) {
    table->routes[0].targets[0].service = ModelId("none");
  });
  expect_invalid(
      "two routes with one host and prefix",
      [](RoutingTable* table) { table->routes.push_back(table->routes[0]); });
  expect_invalid("weights with sum 0", [](RoutingTable* table) {
    table->routes[0].targets[0].weight = 0;
  });
  expect_invalid("negative weight", [](RoutingTable* table) {
    table->routes[0].targets.push_back({ModelId("engine"), -1});
  });
  expect_invalid("timeout",
                 [](RoutingTable* table) { table->routes[0].timeout_ms = 0; });
  expect_invalid("prefix without final slash", [](RoutingTable* table) {
    table->routes[0].path_prefix = "/x";
  });
  expect_invalid("key of two accounts", [](RoutingTable* table) {
    table->accounts[1].api_keys = {"k1"};
  });
  expect_invalid("account without weight",
                 [](RoutingTable* table) { table->accounts[0].weight = 0; });
  expect_invalid("service twice", [](RoutingTable* table) {
    table->services.push_back(table->services[0]);
  });
}

}  // namespace
}  // namespace camphorsail
