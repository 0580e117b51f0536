#include "camphorsail/http/http_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"
#include "gtest/gtest.h"
#include "tests/fakes/http/answering_listener.h"
#include "tests/fakes/http/malformed_heads.h"

namespace camphorsail {
namespace {

constexpr size_t kMaxAnswerBytes = 1000;
constexpr char kOk[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

HttpCall MakeCall(const std::string& url) {
  HttpCall call;
  call.url = url;
  call.headers = {"Fencing-Token: 7", "Content-Type: application/json"};
  call.body = "the body";
  call.send_before = MonotonicNow() + absl::Seconds(5);
  call.deadline = MonotonicNow() + absl::Seconds(5);
  return call;
}

/// @return The result; nothing when there is none within ten seconds.
std::optional<HttpCallResult> Post(HttpCall call) {
  HttpCaller caller(kMaxAnswerBytes);
  absl::Notification done;
  HttpCallResult result;
  caller.Post(std::move(call), [&](HttpCallResult ended) {
    result = std::move(ended);
    done.Notify();
  });
  return done.WaitForNotificationWithTimeout(absl::Seconds(10))
             ? std::optional(std::move(result))
             : std::nullopt;
}

// Guards against a request that lacks a header or its body, and against a
// request that asks for "100 Continue": it may be sent twice.
TEST(HttpCallerTest, SendsTheRequestOnce) {
  AnsweringListener listener({kOk});
  const auto result = Post(MakeCall(listener.Url()));
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->may_have_been_sent);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "{}");
  const std::string received = listener.received();
  EXPECT_TRUE(absl::StartsWith(received, "POST /usage HTTP/1.1\r\n"));
  EXPECT_TRUE(absl::StrContains(received, "\r\nFencing-Token: 7\r\n"));
  EXPECT_TRUE(absl::EndsWith(received, "\r\n\r\nthe body"));
  EXPECT_FALSE(absl::StrContains(received, "Expect"));
  EXPECT_EQ(listener.connections(), 1);
}

// Guards against a second request after answers at which an HTTP client may
// repeat it by itself.
TEST(HttpCallerTest, DoesNotRepeatTheRequest) {
  for (const auto& [answer, status] : std::vector<std::pair<std::string, int>>{
           {"HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n",
            417},
           {"HTTP/1.1 307 Moved\r\nLocation: /usage\r\nContent-Length: "
            "0\r\n\r\n",
            307},
           {"HTTP/1.1 429 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
            429}}) {
    AnsweringListener listener({answer});
    HttpCall call = MakeCall(listener.Url());
    call.body = std::string(2'000'000, ' ') + "body";
    const auto result = Post(std::move(call));
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->status, status);
    EXPECT_FALSE(absl::StrContains(listener.received(), "Expect:"));
    EXPECT_EQ(listener.connections(), 1);
  }
}

// Guards against a call of a process that was suspended past its lease.
TEST(HttpCallerTest, WritesNothingAfterTheTimeToSend) {
  AnsweringListener listener({kOk});
  HttpCall call = MakeCall(listener.Url());
  call.send_before = MonotonicNow();
  auto result = Post(std::move(call));
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(result->may_have_been_sent);
  call = MakeCall(listener.Url());
  call.deadline = MonotonicNow();
  result = Post(std::move(call));
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(result->may_have_been_sent);
  EXPECT_EQ(listener.received(), "");
}

// Guards against a request that is written after the time, because the
// connection was set up slowly: only the check at the write sees that.
TEST(HttpCallerTest, ChecksTheTimeAgainWhenTheConnectionIsUp) {
  // The connection waits in a full queue of a listener that accepts nothing.
  const int full = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  ASSERT_EQ(bind(full, generic, size), 0);
  ASSERT_EQ(listen(full, 0), 0);
  ASSERT_EQ(getsockname(full, generic, &size), 0);
  const int first = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(connect(first, generic, size), 0);

  HttpCaller caller(kMaxAnswerBytes);
  absl::Notification done;
  HttpCallResult result;
  HttpCall call = MakeCall(
      absl::StrCat("http://127.0.0.1:", ntohs(address.sin_port), "/usage"));
  call.send_before = MonotonicNow() + absl::Milliseconds(300);
  caller.Post(std::move(call), [&](HttpCallResult ended) {
    result = std::move(ended);
    done.Notify();
  });
  absl::SleepFor(absl::Milliseconds(400));
  const int accepted = accept(full, nullptr, nullptr);
  // The call's connection, which comes up after the time.
  pollfd readable = {full, POLLIN, 0};
  ASSERT_EQ(poll(&readable, 1, 3'000), 1);
  const int late = accept(full, nullptr, nullptr);
  readable = {late, POLLIN, 0};
  poll(&readable, 1, 500);
  char byte = 0;
  EXPECT_LE(recv(late, &byte, 1, MSG_DONTWAIT), 0);
  close(late);
  ASSERT_TRUE(done.WaitForNotificationWithTimeout(absl::Seconds(10)));
  EXPECT_FALSE(result.may_have_been_sent);
  EXPECT_EQ(result.status, 0);
  close(accepted);
  close(first);
  close(full);
}

// Guards against a connection that stays open after the deadline: the provider
// could take the call later.
TEST(HttpCallerTest, ClosesTheConnectionAtTheDeadline) {
  AnsweringListener listener({""});
  HttpCall call = MakeCall(listener.Url());
  const MonoTime start = MonotonicNow();
  call.deadline = start + absl::Milliseconds(200);
  const auto result = Post(std::move(call));
  const absl::Duration took = MonotonicNow() - start;
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->may_have_been_sent);
  EXPECT_EQ(result->status, 0);
  EXPECT_GE(took, absl::Milliseconds(200));
  EXPECT_LT(took, absl::Seconds(3));
  EXPECT_TRUE(listener.WaitForClose());
}

// Guards against an answer that fills the memory, and against one that is cut
// off and taken for a complete one.
TEST(HttpCallerTest, AnswerThatIsTooLongOrCutOffHasNoStatus) {
  for (const std::string& answer :
       {absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
                     std::string(5000, 'x')),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nxx")}) {
    AnsweringListener listener({answer});
    HttpCall call = MakeCall(listener.Url());
    call.deadline = MonotonicNow() + absl::Milliseconds(500);
    const auto result = Post(std::move(call));
    ASSERT_TRUE(result.has_value());
    EXPECT_TRUE(result->may_have_been_sent);
    EXPECT_EQ(result->status, 0);
    EXPECT_LE(result->body.size(), kMaxAnswerBytes);
  }
}

// Guards against a malformed answer that is taken for a confirmation.
TEST(HttpCallerTest, MalformedAnswerHasNoStatus) {
  for (const auto& answers :
       {AnswersWithMalformedStatus(), AnswersWithMalformedHeader(),
        AnswersWithMalformedFraming()}) {
    for (const std::string& answer : answers) {
      AnsweringListener listener({answer});
      const auto result = Post(MakeCall(listener.Url()));
      ASSERT_TRUE(result.has_value());
      EXPECT_TRUE(result->may_have_been_sent);
      EXPECT_EQ(result->status, 0) << answer;
    }
  }
}

// Guards against a confirmation that was cut: the connection is reset behind an
// answer without a length while the call is still being written.
TEST(HttpCallerTest, EarlyAnswerThatIsResetHasNoStatus) {
  AnsweringListener listener({"HTTP/1.1 200 OK\r\n\r\npart"},
                             AnsweringListener::Manner::kEarlyThenReset);
  HttpCall call = MakeCall(listener.Url());
  call.body = std::string(64 << 20, ' ') + "body";
  const auto result = Post(std::move(call));
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->may_have_been_sent);
  EXPECT_EQ(result->status, 0);
}

// Guards against a call that is counted as perhaps sent although nothing
// listens.
TEST(HttpCallerTest, RefusedConnectionSendsNothing) {
  std::string url;
  {
    AnsweringListener listener({""});
    url = listener.Url();
  }
  const auto result = Post(MakeCall(url));
  ASSERT_TRUE(result.has_value());
  EXPECT_FALSE(result->may_have_been_sent);
}

}  // namespace
}  // namespace camphorsail
