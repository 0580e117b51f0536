#include "camphorsail/http/backend_client.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "gtest/gtest.h"
#include "tests/fakes/http/answering_listener.h"
#include "tests/fakes/http/malformed_heads.h"

namespace camphorsail {
namespace {

/// What the client reported of one call.
struct Outcome {
  int status = 0;
  std::string content_type;
  std::string body;
  std::optional<BackendFailureEvent> failure;
};

/// A client whose calls are made one after the other.
class BackendClientTest : public testing::Test {
 protected:
  BackendClientTest()
      : client_([this](EntryEvent event) { OnEvent(std::move(event)); }) {}

  /// Makes a call and waits until it has ended.
  Outcome Call(const std::string& url, const std::string& body = "the body") {
    BackendCall call;
    call.attempt = {RequestId(++calls_), AttemptNumber(1), Incarnation(1)};
    call.url = url;
    call.body = body;
    {
      absl::MutexLock lock(&mutex_);
      outcome_ = Outcome();
      has_ended_ = false;
    }
    client_.Start(std::move(call));
    absl::MutexLock lock(&mutex_);
    EXPECT_TRUE(mutex_.AwaitWithTimeout(absl::Condition(&has_ended_),
                                        absl::Seconds(30)));
    return outcome_;
  }
  void ExpectFailures(const std::vector<std::string>& answers) {
    for (const std::string& answer : answers) {
      AnsweringListener listener({answer});
      const Outcome outcome = Call(listener.Url());
      ASSERT_TRUE(outcome.failure.has_value()) << answer;
      EXPECT_TRUE(outcome.failure->sent) << answer;
      EXPECT_EQ(outcome.status, 0) << answer;
      EXPECT_EQ(outcome.body, "") << answer;
    }
  }

 private:
  void OnEvent(EntryEvent event) {
    absl::MutexLock lock(&mutex_);
    if (auto* headers = std::get_if<BackendHeadersEvent>(&event)) {
      outcome_.status = headers->status;
      outcome_.content_type = headers->content_type;
    } else if (auto* data = std::get_if<BackendDataEvent>(&event)) {
      outcome_.body += data->data;
    } else if (auto* failure = std::get_if<BackendFailureEvent>(&event)) {
      outcome_.failure = *failure;
      has_ended_ = true;
    } else if (std::holds_alternative<BackendEndEvent>(event)) {
      has_ended_ = true;
    }
  }

  uint64_t calls_ = 0;
  absl::Mutex mutex_;
  Outcome outcome_ ABSL_GUARDED_BY(mutex_);
  bool has_ended_ ABSL_GUARDED_BY(mutex_) = false;
  // Destroyed first: its thread uses the other members.
  BackendClient client_;
};

TEST_F(BackendClientTest, ReportsAnAnswer) {
  AnsweringListener listener(
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201\r\nContent-Type: "
       "text/plain\r\nX-Empty:\r\nX-Latin: \xe9\t\xe9\r\nContent-Length: "
       "2\r\n\r\nok"});
  const Outcome outcome = Call(listener.Url());
  EXPECT_FALSE(outcome.failure.has_value());
  EXPECT_EQ(outcome.status, 201);
  EXPECT_EQ(outcome.content_type, "text/plain");
  EXPECT_EQ(outcome.body, "ok");
}

TEST_F(BackendClientTest, MalformedStatusFailsTheCall) {
  ExpectFailures(AnswersWithMalformedStatus());
}

TEST_F(BackendClientTest, MalformedHeaderFailsTheCall) {
  ExpectFailures(AnswersWithMalformedHeader());
}

TEST_F(BackendClientTest, MalformedFramingFailsTheCall) {
  ExpectFailures(AnswersWithMalformedFraming());
}

// Guards against encoded bytes that the caller reads as the body, because it
// does not learn of the content coding.
TEST_F(BackendClientTest, ContentCodingFailsTheCall) {
  ExpectFailures({"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" +
                  std::string(kTwoByteBody)});
  AnsweringListener listener(
      {"HTTP/1.1 200 OK\r\nContent-Encoding: identity\r\n" +
       std::string(kTwoByteBody)});
  EXPECT_EQ(Call(listener.Url()).body, "ok");
  EXPECT_TRUE(absl::StrContains(listener.received(),
                                "\r\nAccept-Encoding: identity\r\n"));
}

// Guards against a part of an answer that is taken for whole: the connection is
// reset behind an answer without a length while the request is still being
// written.
TEST_F(BackendClientTest, EarlyAnswerThatIsResetFailsTheCall) {
  for (const size_t part : {12U, 200'000U}) {
    AnsweringListener listener(
        {"HTTP/1.1 200 OK\r\n\r\n" + std::string(part, 'p')},
        AnsweringListener::Manner::kEarlyThenReset);
    const Outcome outcome =
        Call(listener.Url(), std::string(64 << 20, ' ') + "body");
    ASSERT_TRUE(outcome.failure.has_value());
    EXPECT_TRUE(outcome.failure->sent);
  }
}

// Guards against a process that ends because libcurl appends the line to a
// header of an earlier answer, which it has freed.
TEST_F(BackendClientTest, ContinuedHeaderOfTheNextAnswerIsNotAppended) {
  for (int i = 0; i < 20; ++i) {
    AnsweringListener listener(
        {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\n" + std::string(kTwoByteBody),
         "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + std::string(kTwoByteBody)});
    Call(listener.Url());
    EXPECT_TRUE(Call(listener.Url()).failure.has_value());
  }
}

}  // namespace
}  // namespace camphorsail
