#include <string>

#include "gtest/gtest.h"
#include "tests/unit/entry/shard_driver.h"

namespace camphorsail {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";

// Guards against accepting requests without a valid API key.
TEST(AdmissionTest, RefusesUnknownKeysBeforeTheBody) {
  ShardDriver driver;
  driver.SendHeaders(1, kChatPath, "plan", "");
  driver.SendHeaders(2, kChatPath, "plan", "wrong-key");
  EXPECT_EQ(driver.ErrorOf(1), "unauthenticated/no");
  EXPECT_EQ(driver.ErrorOf(2), "unauthenticated/no");
  EXPECT_EQ(driver.StatusOf(2), 401);
  EXPECT_EQ(driver.shard.in_progress(), 0u);
  // Without an account, no refused minute is recorded.
  EXPECT_TRUE(driver.ActionsOf<RecordRefusalAction>().empty());
}

// Guards against a wrong error for each kind of invalid path or class.
TEST(AdmissionTest, RefusesBadPathsAndClasses) {
  ShardDriver driver;
  driver.SendHeaders(1, "/v1/unknown");
  driver.SendHeaders(2, kChatPath, "no-such-class");
  driver.SendHeaders(3, "/v1/models");
  driver.SendHeaders(4, "/v1/services/");
  EXPECT_EQ(driver.ErrorOf(1), "not_found/no");
  EXPECT_EQ(driver.ErrorOf(2), "unknown_class/no");
  EXPECT_EQ(driver.ErrorOf(3), "method_not_allowed/no");
  EXPECT_EQ(driver.ErrorOf(4), "not_found/no");
}

// Guards against a caller that reaches other paths of a backend server, such as
// its orders, through the path of a service.
TEST(AdmissionTest, RefusesPathsOutsideTheService) {
  ShardDriver driver;
  driver.SendHeaders(1, "/v1/services/s/../../../orders");
  driver.SendHeaders(2, "/v1/services/s/%2e%2e/orders");
  driver.SendHeaders(3, "/v1/services/s/a b");
  driver.SendHeaders(4, "/v1/services/s/a\r\nX: y");
  for (uint64_t id = 1; id <= 4; ++id) {
    EXPECT_EQ(driver.ErrorOf(id), "invalid_request/no") << id;
  }
}

// Guards against invalid bodies that reach an engine or cause an internal
// error.
TEST(AdmissionTest, RefusesBadBodies) {
  const std::string deep(5000, '[');
  std::string many = R"({"messages":[)";
  for (int i = 0; i < 300'000; ++i) {
    many += "[],";
  }
  many += "1]}";
  struct Case {
    std::string body;
    std::string error;
  };
  const Case cases[] = {
      {"", "invalid_request/no"},
      {"{", "invalid_request/no"},
      {"[]", "invalid_request/no"},
      {R"({"messages":[]})", "invalid_request/no"},
      {R"({"messages":[{"role":1}]})", "invalid_request/no"},
      {R"({"messages":[{"role":"u","content":7}]})", "invalid_request/no"},
      {R"({"messages":[{"role":"u"}],"stream":1})", "invalid_request/no"},
      {R"({"messages":[{"role":"u"}],"max_tokens":0})", "invalid_request/no"},
      {R"({"messages":[{"role":"u"}],"max_tokens":1e99})",
       "invalid_request/no"},
      {R"({"messages":[{"role":"u"}],"n":2,"stream":true})",
       "invalid_request/no"},
      {deep, "invalid_request/no"},
      {many, "invalid_request/no"},
      {"{\"messages\":[{\"role\":\"u\",\"content\":\"\xff\"}]}",
       "invalid_utf8/no"},
      {R"({"messages":[{"role":"u"}],"model":"other"})", "unknown_model/no"},
  };
  ShardDriver driver;
  uint64_t id = 0;
  for (const Case& bad : cases) {
    driver.SendHeaders(++id, kChatPath);
    driver.SendBody(id, bad.body);
    EXPECT_EQ(driver.ErrorOf(id), bad.error) << bad.body.substr(0, 80);
    EXPECT_EQ(driver.EndCount(id), 1);
  }
  EXPECT_TRUE(driver.scheduler.arrivals.empty());
}

// Guards against admission without a lease, both when the headers and when the
// body arrive.
TEST(AdmissionTest, RefusesWithoutLease) {
  ShardDriver driver;
  driver.SendHeaders(1, kChatPath);
  driver.Step(LeaseEvent{driver.now});
  driver.SendBody(1, R"({"messages":[{"role":"u"}]})");
  driver.SendHeaders(2, kChatPath);
  EXPECT_EQ(driver.ErrorOf(1), "lease_expired/no");
  EXPECT_EQ(driver.ErrorOf(2), "lease_expired/no");
  EXPECT_FALSE(driver.shard.IsReady(driver.now));
  const auto refusals = driver.ActionsOf<RecordRefusalAction>();
  ASSERT_EQ(refusals.size(), 2u);
  EXPECT_EQ(refusals[0].kind, ErrorKind::kLeaseExpired);
  EXPECT_EQ(refusals[0].account, ClientAccountId("acme"));
  EXPECT_EQ(refusals[0].class_id, ClassId("plan"));
}

// Guards against sending a request whose lease ended while it was queued.
// Fails when the lease check in `StartAttempt` is removed.
TEST(AdmissionTest, ChecksTheLeaseAgainWhenSending) {
  ShardDriver driver;
  driver.Step(LeaseEvent{driver.now + absl::Seconds(1)});
  driver.SendChat(1, true);
  driver.Advance(absl::Seconds(1));
  driver.Dispatch(1, 1);
  EXPECT_TRUE(driver.ActionsOf<StartBackendCallAction>().empty());
  EXPECT_EQ(driver.ErrorOf(1), "lease_expired/no");
  // The request is removed from the scheduler, which frees its slot.
  EXPECT_EQ(driver.scheduler.gone_requests.size(), 1u);
}

// Guards against accepting requests during a planned stop, and against aborting
// requests in progress.
TEST(AdmissionTest, DrainRefusesNewAndFinishesOldRequests) {
  ShardDriver driver;
  driver.SendChat(1, true);
  driver.Step(DrainEvent{});
  driver.SendHeaders(2, kChatPath);
  EXPECT_EQ(driver.ErrorOf(2), "shutting_down/no");
  EXPECT_FALSE(driver.shard.IsReady(driver.now));
  driver.Dispatch(1, 1);
  driver.ReceiveStreamHeaders(1, 1);
  driver.ReceiveData(1, 1,
                     ShardDriver::TokenEvent(0) + ShardDriver::FinishEvent() +
                         ShardDriver::Done());
  EXPECT_EQ(driver.StatusOf(1), 200);
  EXPECT_EQ(driver.EndCount(1), 1);
  EXPECT_EQ(driver.shard.in_progress(), 0u);
}

// Guards against requests whose body arrives too slowly and that hold memory
// meanwhile.
TEST(AdmissionTest, SlowBodyTimesOut) {
  ShardDriver driver;
  driver.SendHeaders(1, kChatPath);
  driver.Advance(absl::Seconds(9));
  driver.Step(EntryTickEvent{});
  EXPECT_EQ(driver.StatusOf(1), 0);
  driver.Advance(absl::Seconds(2));
  driver.Step(EntryTickEvent{});
  EXPECT_EQ(driver.ErrorOf(1), "request_timeout/no");
  EXPECT_EQ(driver.shard.in_progress(), 0u);
}

// Guards against a header that makes a request of a non-idempotent class
// idempotent.
TEST(AdmissionTest, HeaderOnlyAddsProtection) {
  ShardDriver driver;
  for (uint64_t id = 1; id <= 3; ++id) {
    RequestArrivedEvent event;
    event.request = RequestId(id);
    event.method = "POST";
    event.path = kChatPath;
    event.authorization = "Bearer acme-key";
    event.class_header = id == 1 ? "plan" : "booking";
    event.idempotent_header = id == 3 ? "yes" : (id == 1 ? "false" : "true");
    driver.Step(std::move(event));
    driver.SendBody(id, R"({"messages":[{"role":"u"}]})");
  }
  const auto opened = driver.ActionsOf<LedgerOpenAction>();
  ASSERT_EQ(opened.size(), 2u);
  EXPECT_EQ(opened[0].request, RequestId(1));
  EXPECT_EQ(opened[1].request, RequestId(2));
  EXPECT_EQ(driver.ErrorOf(3), "invalid_request/no");
}

// Guards against a caller that sets the engine's priority, token limit or
// resume point itself.
TEST(AdmissionTest, RouterSetsTheEngineFields) {
  ShardDriver driver;
  driver.SendHeaders(1, kChatPath);
  driver.SendBody(1,
                  R"({"messages":[{"role":"u"}],"priority":-9,"max_tokens":10,)"
                  R"("camphorsail_resume":{"text":"x","tokens":1}})");
  driver.Dispatch(1, 1);
  const auto calls = driver.ActionsOf<StartBackendCallAction>();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_NE(calls[0].body.find(R"("priority":2)"), std::string::npos);
  EXPECT_NE(calls[0].body.find(R"("max_tokens":10)"), std::string::npos);
  EXPECT_EQ(calls[0].body.find("camphorsail_resume"), std::string::npos);
  EXPECT_EQ(driver.scheduler.arrivals[0].max_output_tokens, Tokens(10));
}

}  // namespace
}  // namespace camphorsail
