#include "camphorsail/routing/route_index.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

Route MakeRoute(std::string name,
                std::string host,
                std::string prefix,
                int rank) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.rank = rank;
  route.timeout_ms = 1000;
  return route;
}

RouteIndex MakeIndex(RoutingTable table) {
  return RouteIndex(MakeRef<SharedRoutingTable>(std::move(table)));
}

TEST(RouteIndexTest, LongestPrefixOfTheHostWins) {
  RoutingTable table;
  table.routes = {MakeRoute("short", "a.example", "/x/", 0),
                  MakeRoute("long", "a.example", "/x/y/", 0),
                  MakeRoute("other", "b.example", "/x/", 0)};
  const RouteIndex index = MakeIndex(table);
  EXPECT_EQ(index.FindRoute("a.example", "/x/y/z")->name, "long");
  EXPECT_EQ(index.FindRoute("A.example:80", "/x/z?q=/x/y/")->name, "short");
  EXPECT_EQ(index.FindRoute("b.example", "/x/y/z")->name, "other");
  EXPECT_EQ(index.FindRoute("a.example", "/x"), nullptr);
  EXPECT_EQ(index.FindRoute("c.example", "/x/y/"), nullptr);
}

TEST(RouteIndexTest, FindsTheAccountOfAKey) {
  RoutingTable table;
  table.accounts = {{ClientAccountId("one"), {"k1", "k2"}, std::nullopt}};
  const RouteIndex index = MakeIndex(table);
  EXPECT_EQ(index.FindAccount("k2")->account, ClientAccountId("one"));
  EXPECT_EQ(index.FindAccount("k"), nullptr);
  EXPECT_EQ(index.FindAccount(""), nullptr);
}

// Guards against an urgency that depends only on the account. An engine could
// then preempt a request while a request of the same account on a less urgent
// route keeps running.
TEST(RouteIndexTest, UrgencyIsByAccountAndThenByRoute) {
  RoutingTable table;
  table.routes = {MakeRoute("first", "a", "/1/", 0),
                  MakeRoute("last", "a", "/2/", 2)};
  table.accounts = {{ClientAccountId("high"), {}, 0},
                    {ClientAccountId("low"), {}, 1}};
  const RouteIndex index = MakeIndex(table);
  const Route& first = index.table().routes[0];
  const Route& last = index.table().routes[1];
  const AccountKeys* high = &index.table().accounts[0];
  const AccountKeys* low = &index.table().accounts[1];
  EXPECT_LT(index.UrgencyOf(high, first), index.UrgencyOf(high, last));
  EXPECT_LT(index.UrgencyOf(high, last), index.UrgencyOf(low, first));
  EXPECT_LT(index.UrgencyOf(low, first), index.UrgencyOf(low, last));
}

TEST(RouteIndexTest, UrgenciesStayInRange) {
  RoutingTable table;
  for (int i = 0; i < 30; ++i) {
    table.routes.push_back(
        MakeRoute("r", "a", "/" + std::to_string(i) + "/", i));
  }
  const RouteIndex index = MakeIndex(table);
  Urgency last(0);
  for (const Route& route : index.table().routes) {
    const Urgency urgency = index.UrgencyOf(nullptr, route);
    EXPECT_GE(urgency, last);
    EXPECT_LT(urgency, Urgency(kUrgencyLevels));
    last = urgency;
  }
  EXPECT_EQ(last, Urgency(kUrgencyLevels - 1));
}

}  // namespace
}  // namespace camphorsail
