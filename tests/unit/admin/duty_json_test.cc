#include "camphorsail/admin/duty_json.h"

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

// Guards against an operator who sees another holder, open report, order or
// hold than the group has.
TEST(DutyJsonTest, ShowsTheWholeState) {
  DutyStore store;
  EXPECT_TRUE(DutiesToJson(store)["last_settled_window"].is_null());
  ASSERT_TRUE(
      store.Apply(DutyClaim{VmId("vm1"), Incarnation(5), TermNumber(3)}));
  for (const int64_t window : {40, 41}) {
    ASSERT_TRUE(store.Apply(UsageAgreement{
        {UsageWindowNumber(window),
         {{ClientAccountId("a"), 50}, {ClientAccountId("b"), 40}}}}));
  }
  ASSERT_TRUE(store.Apply(UsageSettlement{UsageWindowNumber(40)}));
  ASSERT_TRUE(store.Apply(OrderSettlement{
      {{ModelId("chat"), FailureDomainId("fd1"), ServerTenure::kReclaimable},
       3},
      DutyToken(1),
      9}));
  ASSERT_TRUE(store.Apply(OrderHold{ModelId("mail"), true, "ann"}));
  EXPECT_EQ(DutiesToJson(store), Json::parse(R"({
      "holder": {"vm": "vm1", "process": 5, "term": 3, "token": 1},
      "open_windows": [{"window": 41, "accounts": 2, "requests": 90}],
      "last_settled_window": 40, "abandoned_windows": 0,
      "orders": [{"service": "chat", "failure_domain": "fd1",
                  "tenure": "reclaimable", "count": 3, "token": 1}],
      "holds": [{"service": "mail", "operator": "ann"}]})"));
}

// Guards against a request that holds or resumes by mistake.
TEST(DutyJsonTest, ReadsHolds) {
  const auto hold = ParseOrderHold(
      {{"service", "chat"}, {"hold", true}, {"operator", "ann"}});
  ASSERT_TRUE(hold);
  EXPECT_EQ(hold->service, ModelId("chat"));
  EXPECT_TRUE(hold->on_hold);
  EXPECT_EQ(hold->operator_name, "ann");
  const auto resume = ParseOrderHold({{"service", "chat"}, {"hold", false}});
  ASSERT_TRUE(resume);
  EXPECT_FALSE(resume->on_hold);
  EXPECT_EQ(resume->operator_name, "unknown");
  for (const Json& body :
       {Json::object(), Json({{"service", "chat"}}), Json({{"hold", true}}),
        Json({{"service", 7}, {"hold", true}}),
        Json({{"service", "chat"}, {"hold", "true"}})}) {
    EXPECT_FALSE(ParseOrderHold(body));
  }
}

}  // namespace
}  // namespace camphorsail
