#include "platform/provider_calls.h"

#include <utility>

#include "gtest/gtest.h"

namespace camphorsail::platform {
namespace {

ProviderCall MakeCall(ProviderCall::Content content) {
  ProviderCall call;
  call.id = 5;
  call.holder = VmId("vm-a");
  call.token = DutyToken(42);
  call.content = std::move(content);
  return call;
}

ServerOrder Order(ServerTenure tenure) {
  return {{ModelId("chat"), FailureDomainId("north"), tenure}, 3};
}

// Guards against a report that the provider cannot read, or whose bytes differ
// when it is repeated.
TEST(ProviderCallsTest, WritesUsageReports) {
  const ProviderDialect dialect = MakeProviderDialect();
  const UsageWindow window = {
      UsageWindowNumber(176'480),
      {{ClientAccountId("a\"b"), 10}, {ClientAccountId("c"), 2}}};
  const ProviderRequest request = dialect.write_request(MakeCall(window));
  EXPECT_EQ(request.path, "/usage");
  EXPECT_EQ(request.headers,
            (std::vector<std::string>{"Duty-Holder: vm-a", "Fencing-Token: 42",
                                      "Content-Type: application/json"}));
  EXPECT_EQ(request.body, R"({"counts":{"a\"b":10,"c":2},"window":176480})");
  EXPECT_EQ(
      dialect.write_request(MakeCall(UsageWindow{window.number, {}})).body,
      R"({"counts":{},"window":176480})");
}

// Guards against an order for another kind of server than was decided.
TEST(ProviderCallsTest, WritesServerOrders) {
  const ProviderDialect dialect = MakeProviderDialect();
  const ProviderRequest request =
      dialect.write_request(MakeCall(Order(ServerTenure::kRegular)));
  EXPECT_EQ(request.path, "/scale");
  EXPECT_EQ(request.headers[1], "Fencing-Token: 42");
  EXPECT_EQ(request.body, R"({"desired":3,"service":"chat","zone":"north"})");
  EXPECT_EQ(
      dialect.write_request(MakeCall(Order(ServerTenure::kReclaimable))).body,
      R"({"desired":3,"service":"chat","spot":true,"zone":"north"})");
}

// Guards against an answer that is taken for an acceptance, and against a fault
// behind which the call may have been carried out and that is taken for a
// refusal.
TEST(ProviderCallsTest, ReadsStatus) {
  const ProviderDialect dialect = MakeProviderDialect();
  EXPECT_EQ(dialect.read_status(200), ProviderOutcome::kAccepted);
  EXPECT_EQ(dialect.read_status(409), ProviderOutcome::kConflict);
  for (const int status : {201, 204, 301, 400, 404, 429}) {
    EXPECT_EQ(dialect.read_status(status), ProviderOutcome::kRejected);
  }
  for (const int status : {500, 502, 503, 504}) {
    EXPECT_EQ(dialect.read_status(status), ProviderOutcome::kUnknown);
  }
}

}  // namespace
}  // namespace camphorsail::platform
