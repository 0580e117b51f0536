#include "camphorsail/gateway/caller_connection.h"

#include <string>
#include <vector>

#include "camphorsail/gateway/caller_listener.h"
#include "gtest/gtest.h"
#include "tests/fakes/gateway/loop_driver.h"
#include "tests/fakes/gateway/raw_socket.h"

namespace camphorsail {
namespace {

/// A listener that stores the requests, which the tests answer.
class CallerConnectionTest : public testing::Test {
 protected:
  void SetUp() override {
    CallerHandlers handlers;
    handlers.on_request = [this](CallerConnection* caller, HttpRequestHead head,
                                 std::string body) {
      caller_ = caller;
      heads_.push_back(std::move(head));
      bodies_.push_back(std::move(body));
    };
    handlers.on_unreceived_request = [this](CallerConnection* caller,
                                            ErrorKind kind) {
      bad_.push_back(kind);
      caller->SendComplete(GetErrorTraits(kind).http_status, HttpHeaders(), "");
    };
    handlers.on_gone = [this](CallerConnection*) { ++gone_; };
    handlers.on_drained = [](CallerConnection*) {};
    limits_.max_header_bytes = 2000;
    limits_.max_body_bytes = 1000;
    listener_ = *CallerListener::Create(
        {"127.0.0.1", 0}, &driver_.loop, [this] { return limits_; }, budget_,
        &answers_, handlers);
  }

  RawSocket Connect() { return RawSocket::Connect(listener_->port()); }
  bool WaitForRequests(size_t count) {
    return driver_.RunUntil([&] { return heads_.size() >= count; });
  }
  bool WaitFor(RawSocket* socket, const std::string& text) {
    return driver_.RunUntil([&] { return socket->Has(text); });
  }

  static constexpr size_t kAnswerBytes = 24 << 20;
  LoopDriver driver_;
  CallerLimits limits_;
  CallerBudgetSettings budget_;
  ByteAccount answers_{kAnswerBytes};
  std::unique_ptr<CallerListener> listener_;
  CallerConnection* caller_ = nullptr;
  std::vector<HttpRequestHead> heads_;
  std::vector<std::string> bodies_;
  std::vector<ErrorKind> bad_;
  int gone_ = 0;
};

TEST_F(CallerConnectionTest, AnswersRequestsOfOneConnectionInOrder) {
  RawSocket socket = Connect();
  socket.Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(bodies_[0], "abc");
  driver_.RunFor(absl::Milliseconds(20));
  EXPECT_EQ(heads_.size(), 1U);
  caller_->SendComplete(200, HttpHeaders(), "first");
  ASSERT_TRUE(WaitForRequests(2));
  EXPECT_EQ(heads_[1].target, "/b");
  caller_->SendComplete(200, HttpHeaders(), "second");
  EXPECT_TRUE(WaitFor(&socket, "second"));
  EXPECT_FALSE(socket.HasEnded());
}

/// A listener with a small budget of connections and bytes.
class CallerBudgetTest : public CallerConnectionTest {
 protected:
  void SetUp() override {
    budget_.max_connections = 3;
    budget_.max_request_bytes = 1500;
    CallerConnectionTest::SetUp();
  }
  static std::string Request(size_t body) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body) + "\r\n\r\n" + std::string(body, 'x');
  }
};

// Guards against a flood of connections that exhausts descriptors and memory.
TEST_F(CallerBudgetTest, ConnectionsBeyondTheBoundAreClosedAtOnce) {
  std::vector<RawSocket> sockets;
  sockets.reserve(20);
  for (int i = 0; i < 20; ++i) {
    sockets.push_back(Connect());
  }
  EXPECT_TRUE(driver_.RunUntil(
      [&] { return listener_->rejected_connections() == 17; }));
  EXPECT_EQ(listener_->open_connections(), 3U);
  sockets[0].Close();
  ASSERT_TRUE(
      driver_.RunUntil([&] { return listener_->open_connections() == 2; }));
  RawSocket next = Connect();
  next.Write(Request(3));
  EXPECT_TRUE(WaitForRequests(1));
}

// Guards against a flood of request bodies that exhausts the memory.
TEST_F(CallerBudgetTest, BodiesBeyondTheBoundAreRefusedAsNotRun) {
  RawSocket first = Connect();
  first.Write(Request(900));
  ASSERT_TRUE(WaitForRequests(1));
  CallerConnection* holder = caller_;
  RawSocket second = Connect();
  second.Write(Request(900));
  ASSERT_TRUE(driver_.RunUntil([&] { return !bad_.empty(); }));
  EXPECT_EQ(bad_[0], ErrorKind::kOverloaded);
  EXPECT_TRUE(WaitFor(&second, "503"));
  // A request that has been answered no longer counts.
  holder->SendComplete(200, HttpHeaders(), "done");
  ASSERT_TRUE(WaitFor(&first, "done"));
  EXPECT_EQ(listener_->held_bytes(), 0U);
  first.Write(Request(900));
  EXPECT_TRUE(WaitForRequests(2));
}

// Guards against bytes that stay reserved when a caller disconnects in the
// middle of a body.
TEST_F(CallerBudgetTest, BytesOfAbandonedBodiesAreReleased) {
  for (int i = 0; i < 5; ++i) {
    RawSocket socket = Connect();
    socket.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" +
                 std::string(800, 'x'));
    ASSERT_TRUE(
        driver_.RunUntil([&] { return listener_->held_bytes() > 800; }));
    socket.Close();
    ASSERT_TRUE(driver_.RunUntil([&] { return listener_->held_bytes() == 0; }));
  }
  EXPECT_TRUE(bad_.empty());
}

// Guards against rejected bodies that stay in memory for as long as their
// callers send on, while others take the bytes that no longer count.
TEST_F(CallerBudgetTest, LargestUnfinishedRequestMakesRoom) {
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n";
  RawSocket large = Connect();
  large.Write(head + std::string(900, 'x'));
  ASSERT_TRUE(driver_.RunUntil([&] { return listener_->held_bytes() > 900; }));
  RawSocket small = Connect();
  small.Write(Request(600));
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(bodies_[0].size(), 600U);
  EXPECT_TRUE(WaitFor(&large, "503"));
  EXPECT_EQ(bad_, std::vector<ErrorKind>{ErrorKind::kOverloaded});
  caller_->SendComplete(200, HttpHeaders(), "done");
  ASSERT_TRUE(WaitFor(&small, "done"));
  EXPECT_EQ(listener_->held_bytes(), 0U);
}

// Guards against a head of many short headers, which takes a multiple of its
// bytes in memory.
TEST_F(CallerBudgetTest, HeadersCountWithTheirMemory) {
  std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 300; ++i) {
    head += "a:\r\n";
  }
  RawSocket socket = Connect();
  socket.Write(head + "\r\n");
  ASSERT_TRUE(driver_.RunUntil([&] { return !bad_.empty(); }));
  EXPECT_EQ(bad_[0], ErrorKind::kOverloaded);
  EXPECT_TRUE(heads_.empty());
}

/// Requests an answer and does not read it.
class UnreadAnswerTest : public CallerConnectionTest {
 protected:
  static constexpr size_t kLargeBytes = 16 << 20;
  void Request(RawSocket* socket) {
    const size_t before = heads_.size();
    socket->Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(WaitForRequests(before + 1));
  }
  void AnswerLarge() {
    caller_->SendComplete(200, HttpHeaders(), std::string(kLargeBytes, 'x'));
  }
};

// Guards against callers that ask for much and do not read it, until the
// process has no memory left.
TEST_F(UnreadAnswerTest, CountsUntilTheCallerHasTakenIt) {
  RawSocket reader = Connect();
  Request(&reader);
  AnswerLarge();
  EXPECT_GT(answers_.total(), 0U);
  ASSERT_TRUE(driver_.RunUntil([&] {
    reader.Poll();
    return reader.received().size() > kLargeBytes;
  }));
  driver_.RunFor(absl::Milliseconds(5));
  EXPECT_EQ(answers_.total(), 0U);
}

TEST_F(UnreadAnswerTest, LargestUnreadAnswerMakesRoomForOthers) {
  RawSocket idle = Connect();
  Request(&idle);
  AnswerLarge();
  driver_.RunFor(ByteAccount::kStalledAfter + absl::Milliseconds(20));
  RawSocket reader = Connect();
  Request(&reader);
  AnswerLarge();
  EXPECT_LE(answers_.total(), kAnswerBytes);
  ASSERT_TRUE(driver_.RunUntil([&] {
    reader.Poll();
    return reader.received().size() > kLargeBytes;
  }));
  EXPECT_TRUE(driver_.RunUntil([&] { return idle.HasEnded(); }));
  EXPECT_LT(idle.received().size(), kLargeBytes);
}

// Guards against answers that are kept for good for callers that do not read.
TEST_F(UnreadAnswerTest, EndsWhenNothingIsTakenForTheIdleTimeout) {
  limits_.idle_timeout_ms = 300;
  RawSocket idle = Connect();
  Request(&idle);
  AnswerLarge();
  EXPECT_TRUE(
      driver_.RunUntil([&] { return listener_->open_connections() == 0; }));
  EXPECT_EQ(answers_.total(), 0U);
}

// Guards against trailer fields that become headers of the next request.
TEST_F(CallerConnectionTest, TrailersAreNotHeadersOfTheNextRequest) {
  RawSocket socket = Connect();
  socket.Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n0\r\nX-Late: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  caller_->SendComplete(200, HttpHeaders(), "first");
  ASSERT_TRUE(WaitForRequests(2));
  EXPECT_EQ(heads_[1].headers.Find("X-Late"), nullptr);
}

TEST_F(CallerConnectionTest, ReadsAChunkedBody) {
  RawSocket socket = Connect();
  socket.Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  EXPECT_EQ(bodies_[0], "abcde");
}

// Guards against request smuggling: a server that interprets ambiguous framing
// differently would run a request that is hidden in the body of another one.
TEST_F(CallerConnectionTest, RefusesAmbiguousFraming) {
  for (const char* headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: +5\r\n",
        "Content-Length : 5\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "X-A: b\x01\r\n", "X(A): b\r\n", "Host: other\r\n"}) {
    const size_t before = bad_.size();
    RawSocket socket = Connect();
    socket.Write(std::string("POST /a HTTP/1.1\r\nHost: h\r\n") + headers +
                 "\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(driver_.RunUntil([&] { return socket.HasEnded(); })) << headers;
    EXPECT_TRUE(socket.Has("HTTP/1.1 400")) << headers;
    EXPECT_EQ(bad_.size(), before + 1) << headers;
  }
  EXPECT_TRUE(heads_.empty());
}

TEST_F(CallerConnectionTest, RefusesWhatIsTooLarge) {
  RawSocket body = Connect();
  body.Write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
  EXPECT_TRUE(WaitFor(&body, "HTTP/1.1 413"));
  RawSocket chunked = Connect();
  chunked.Write(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n400\r\n" +
      std::string(1024, 'x') + "\r\n0\r\n\r\n");
  EXPECT_TRUE(WaitFor(&chunked, "HTTP/1.1 413"));
  RawSocket headers = Connect();
  headers.Write("GET /a HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(2500, 'x') +
                "\r\n\r\n");
  EXPECT_TRUE(WaitFor(&headers, "HTTP/1.1 431"));
}

// Guards against kept connections that refuse by the limits of an earlier
// configuration.
TEST_F(CallerConnectionTest, KeptConnectionFollowsAChangeOfTheLimits) {
  RawSocket socket = Connect();
  const std::string request =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1500\r\n\r\n" +
      std::string(1500, 'x');
  socket.Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  caller_->SendComplete(200, HttpHeaders(), "first");
  ASSERT_TRUE(WaitFor(&socket, "first"));
  limits_.max_body_bytes = 2000;
  socket.Write(request);
  ASSERT_TRUE(WaitForRequests(2));
  EXPECT_EQ(bodies_[1].size(), 1500U);
  caller_->SendComplete(200, HttpHeaders(), "second");
  ASSERT_TRUE(WaitFor(&socket, "second"));
  limits_.max_body_bytes = 1000;
  socket.Write(request);
  EXPECT_TRUE(WaitFor(&socket, "HTTP/1.1 413"));
}

// Guards against an aborted answer that looks complete to the caller.
TEST_F(CallerConnectionTest, AbortedAnswerHasNoFinalChunk) {
  RawSocket socket = Connect();
  socket.Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  caller_->SendHead(200, HttpHeaders());
  caller_->SendData("piece");
  EXPECT_TRUE(WaitFor(&socket, "piece"));
  caller_->Abort();
  EXPECT_TRUE(driver_.RunUntil([&] { return socket.HasEnded(); }));
  EXPECT_FALSE(socket.Has("\r\n0\r\n"));
}

// Guards against a connection that stays open during a drain because its answer
// began before the drain: a later request on it was cut off when the process
// exited.
TEST_F(CallerConnectionTest,
       ConnectionEndsWithAnAnswerThatBeganBeforeTheDrain) {
  RawSocket socket = Connect();
  socket.Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(1));
  caller_->SendHead(200, HttpHeaders());
  caller_->SendData("piece");
  listener_->CloseConnectionsAfterNextAnswer();
  listener_->CloseConnectionsWhenIdle();
  driver_.RunFor(absl::Milliseconds(20));
  EXPECT_FALSE(socket.HasEnded());
  caller_->SendEnd();
  EXPECT_TRUE(driver_.RunUntil([&] { return socket.HasEnded(); }));
  EXPECT_TRUE(socket.Has("\r\n0\r\n\r\n"));
}

// Guards against a server that keeps working for a caller that has
// disconnected, whether by half-closing, closing or resetting the connection.
TEST_F(CallerConnectionTest, NoticesThatTheCallerLeft) {
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  {
    RawSocket half_closed = Connect();
    half_closed.Write(request);
    ASSERT_TRUE(WaitForRequests(1));
    half_closed.ShutdownWrite();
    EXPECT_TRUE(driver_.RunUntil([&] { return gone_ == 1; }));
  }
  RawSocket closed = Connect();
  closed.Write(request + "GET /unread HTTP/1.1\r\n");
  ASSERT_TRUE(WaitForRequests(2));
  closed.Close();
  EXPECT_TRUE(driver_.RunUntil([&] { return gone_ == 2; }));
  RawSocket reset = Connect();
  reset.Write(request);
  ASSERT_TRUE(WaitForRequests(3));
  reset.Reset();
  EXPECT_TRUE(driver_.RunUntil([&] { return gone_ == 3; }));
}

TEST_F(CallerConnectionTest, ClosesCallersThatTakeTooLong) {
  limits_.header_timeout_ms = 100;
  limits_.idle_timeout_ms = 300;
  RawSocket slow = Connect();
  slow.Write("GET /a HTTP/1.1\r\nHost:");
  EXPECT_TRUE(WaitFor(&slow, "HTTP/1.1 408"));
  RawSocket idle = Connect();
  EXPECT_TRUE(driver_.RunUntil([&] { return idle.HasEnded(); }));
}

}  // namespace
}  // namespace camphorsail
