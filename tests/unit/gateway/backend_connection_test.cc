#include "camphorsail/gateway/backend_connection.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "camphorsail/gateway/backend_connection_pool.h"
#include "gtest/gtest.h"
#include "tests/fakes/gateway/fake_server.h"
#include "tests/fakes/gateway/loop_driver.h"
#include "tests/fakes/http/malformed_heads.h"

namespace camphorsail {
namespace {

/// Time within which an answer that is not valid ends its request.
constexpr absl::Duration kAtOnce = absl::Seconds(2);
constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// The result of one request.
struct Outcome {
  int status = 0;
  std::string body;
  int pieces = 0;
  bool ended = false;
  bool failed = false;
  bool sent = false;
  BackendFailure failure = BackendFailure::kBroken;
  bool is_over() const { return ended || failed; }
};

class BackendConnectionTest : public testing::Test {
 protected:
  BackendConnectionTest() : pool_({.source_ip = "127.0.0.1"}, &driver_.loop) {}

  BackendHandlers HandlersOf(Outcome* outcome) {
    BackendHandlers handlers;
    handlers.on_head = [outcome](HttpResponseHead head) {
      outcome->status = head.status;
      return head.headers.Find("X-Foreign") == nullptr;
    };
    handlers.on_data = [outcome](std::string_view data) {
      outcome->body.append(data);
      ++outcome->pieces;
    };
    handlers.on_end = [outcome] { outcome->ended = true; };
    handlers.on_failure = [outcome](BackendFailure failure, bool sent) {
      outcome->failed = true;
      outcome->failure = failure;
      outcome->sent = sent;
    };
    return handlers;
  }
  void Send(Outcome* outcome, const std::string& name = "one") {
    pool_.Take({"127.0.0.1", server_.port()})
        ->Start("POST /" + name + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "",
                false, HandlersOf(outcome));
  }
  /// Sends a request that does not fit into the buffers of the sockets.
  void SendLarge(Outcome* outcome) {
    static const auto* const body = new std::string(64 << 20, 'b');
    pool_.Take({"127.0.0.1", server_.port()})
        ->Start(absl::StrCat("POST /large HTTP/1.1\r\nContent-Length: ",
                             body->size(), "\r\n\r\n"),
                *body, false, HandlersOf(outcome));
  }
  bool WaitForRequest(const std::string& name) {
    return driver_.RunUntil([&] { return server_.Count("/" + name) > 0; });
  }
  bool WaitFor(const Outcome& outcome) {
    return driver_.RunUntil([&] { return outcome.is_over(); });
  }

  /// Sends the first request and lets the server answer it.
  /// @return True when the server received the request and the client the
  /// answer.
  bool ServeFirst(Outcome* outcome, const std::string& answer) {
    Send(outcome);
    if (!WaitForRequest("one")) {
      return false;
    }
    server_.connection(0).Write(answer);
    return WaitFor(*outcome);
  }

  /// Sends a request on a new connection.
  /// @return The server's end of it; null when the request does not arrive.
  RawSocket* SendOnNewConnection(Outcome* outcome) {
    pool_.CloseIdleTo({"127.0.0.1", server_.port()});
    const size_t before = server_.connection_count();
    Send(outcome);
    const bool has_arrived = driver_.RunUntil([&] {
      return server_.connection_count() > before &&
             server_.connection(before).Has("/one");
    });
    return has_arrived ? &server_.connection(before) : nullptr;
  }
  /// Sends a request for each answer on a connection of its own and expects
  /// that nothing of the answer is passed on and that its sender learns at once
  /// that it is not valid. The connections stay open.
  void ExpectProtocolFailures(const std::vector<std::string>& answers) {
    for (const std::string& answer : answers) {
      Outcome outcome;
      RawSocket* const server = SendOnNewConnection(&outcome);
      ASSERT_NE(server, nullptr);
      server->Write(answer);
      bool is_late = false;
      const EventLoop::TimerId limit = driver_.loop.RunAt(
          driver_.loop.now() + kAtOnce, [&is_late] { is_late = true; });
      driver_.RunUntil([&] { return outcome.is_over() || is_late; });
      driver_.loop.Cancel(limit);
      EXPECT_TRUE(outcome.failed) << answer;
      EXPECT_TRUE(outcome.sent) << answer;
      EXPECT_EQ(outcome.failure, BackendFailure::kProtocol) << answer;
      EXPECT_EQ(outcome.status, 0) << answer;
      EXPECT_EQ(outcome.body, "") << answer;
      server->Reset();
      ASSERT_TRUE(WaitFor(outcome));
    }
  }

  FakeServer server_;
  LoopDriver driver_;
  BackendConnectionPool pool_;
};

TEST_F(BackendConnectionTest, ReusesAConnection) {
  Outcome first;
  ASSERT_TRUE(ServeFirst(&first, kAnswer));
  EXPECT_EQ(first.body, "ok");
  Outcome second;
  Send(&second, "two");
  ASSERT_TRUE(WaitForRequest("two"));
  EXPECT_EQ(server_.connection_count(), 1U);
  server_.connection(0).Write(kAnswer);
  ASSERT_TRUE(WaitFor(second));
  EXPECT_TRUE(second.ended);
}

// Guards against silently repeating a request when a reused connection breaks,
// as some client libraries do: the server may have run the request.
TEST_F(BackendConnectionTest, NeverSendsARequestTwice) {
  Outcome first;
  ASSERT_TRUE(ServeFirst(&first, kAnswer));
  Outcome second;
  Send(&second, "two");
  ASSERT_TRUE(WaitForRequest("two"));
  server_.connection(0).Reset();
  ASSERT_TRUE(WaitFor(second));
  EXPECT_TRUE(second.failed);
  EXPECT_TRUE(second.sent);
  driver_.RunFor(absl::Milliseconds(50));
  EXPECT_EQ(server_.Count("/two"), 1U);
}

// Guards against a late answer that is taken for the answer to the next
// request.
TEST_F(BackendConnectionTest, UnsolicitedBytesEndTheConnection) {
  Outcome first;
  ASSERT_TRUE(ServeFirst(&first, std::string(kAnswer) + kAnswer));
  EXPECT_EQ(first.body, "ok");
  Outcome second;
  Send(&second, "two");
  ASSERT_TRUE(WaitForRequest("two"));
  EXPECT_EQ(server_.connection_count(), 2U);
  server_.connection(1).Write(kAnswer);
  ASSERT_TRUE(WaitFor(second));
  server_.connection(1).Write(kAnswer);
  driver_.RunFor(absl::Milliseconds(30));
  Outcome third;
  Send(&third, "three");
  ASSERT_TRUE(WaitForRequest("three"));
  EXPECT_EQ(server_.connection_count(), 3U);
}

TEST_F(BackendConnectionTest, AnswerToAnotherRequestFailsTheAttempt) {
  Outcome outcome;
  Send(&outcome);
  ASSERT_TRUE(WaitForRequest("one"));
  server_.connection(0).Write(
      "HTTP/1.1 200 OK\r\nX-Foreign: 1\r\nContent-Length: 2\r\n\r\nno");
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_EQ(outcome.failure, BackendFailure::kProtocol);
  EXPECT_EQ(outcome.body, "");
}

// An answer without a length is complete when the server closes the connection,
// but truncated when the connection is reset.
TEST_F(BackendConnectionTest, AnswerWithoutALengthIsCompleteOnlyWithAClose) {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\npart";
  Outcome closed;
  Send(&closed);
  ASSERT_TRUE(WaitForRequest("one"));
  server_.connection(0).Write(head);
  server_.connection(0).ShutdownWrite();
  ASSERT_TRUE(WaitFor(closed));
  EXPECT_TRUE(closed.ended);
  EXPECT_EQ(closed.body, "part");
  Outcome reset;
  Send(&reset, "two");
  ASSERT_TRUE(WaitForRequest("two"));
  server_.connection(1).Write(head);
  ASSERT_TRUE(driver_.RunUntil([&] { return reset.body == "part"; }));
  server_.connection(1).Reset();
  ASSERT_TRUE(WaitFor(reset));
  EXPECT_TRUE(reset.failed);
}

// Guards against an answer without a length that is taken for whole although it
// was reset: the write of the rest of the request takes the error from the
// socket, and the next read reports an end.
TEST_F(BackendConnectionTest, ResetWhileTheRequestIsWrittenTruncatesTheAnswer) {
  const std::string part(60'000, 'p');
  for (const bool is_reset : {true, false}) {
    Outcome outcome;
    const size_t before = server_.connection_count();
    SendLarge(&outcome);
    ASSERT_TRUE(driver_.RunUntil([&] {
      return server_.connection_count() > before &&
             server_.connection(before).Has("/large");
    }));
    RawSocket& connection = server_.connection(before);
    connection.Write("HTTP/1.1 200 OK\r\n\r\n" + part);
    if (is_reset) {
      connection.Reset();
    } else {
      // The rest of the request meets a closed socket, which resets the
      // connection behind a complete answer.
      connection.ShutdownWrite();
      driver_.RunFor(absl::Milliseconds(5));
      connection.Close();
    }
    ASSERT_TRUE(WaitFor(outcome));
    EXPECT_EQ(outcome.ended, !is_reset);
    EXPECT_EQ(outcome.failed, is_reset);
    EXPECT_EQ(outcome.body, part);
  }
}

// Guards against a loop that is occupied for as long as a caller does not read,
// because the server of its stream has ended.
TEST_F(BackendConnectionTest, ResetWhilePausedDoesNotOccupyTheLoop) {
  Outcome outcome;
  BackendConnection* connection = pool_.Take({"127.0.0.1", server_.port()});
  connection->Start("GET /one HTTP/1.1\r\n\r\n", "", false,
                    HandlersOf(&outcome));
  ASSERT_TRUE(WaitForRequest("one"));
  connection->SetPaused(true);
  server_.connection(0).Write(
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  server_.connection(0).Reset();
  constexpr int kMaxIterations = 100;
  int iterations = 0;
  bool is_over = false;
  driver_.loop.RunAt(driver_.loop.now() + absl::Milliseconds(50),
                     [&is_over] { is_over = true; });
  while (!is_over && iterations < kMaxIterations) {
    driver_.loop.RunOnce();
    ++iterations;
  }
  EXPECT_LT(iterations, kMaxIterations);
  EXPECT_FALSE(outcome.is_over());
  connection->SetPaused(false);
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_EQ(outcome.body, "half");
  EXPECT_TRUE(outcome.failed);
}

// Guards against a server that makes the gateway work for each byte, and write
// it to the caller on its own, by chunks of one byte.
TEST_F(BackendConnectionTest, ChunksOfOneReadArePassedOnTogether) {
  constexpr int kChunks = 1000;
  std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < kChunks; ++i) {
    answer += "1\r\nx\r\n";
  }
  Outcome outcome;
  ASSERT_TRUE(ServeFirst(&outcome, answer + "0\r\n\r\n"));
  EXPECT_TRUE(outcome.ended);
  EXPECT_EQ(outcome.body, std::string(kChunks, 'x'));
  EXPECT_LE(outcome.pieces, 5);
}

TEST_F(BackendConnectionTest, TruncatedAnswersFail) {
  for (const char* answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nContent-", "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: "
        "3\r\n\r\nabc"}) {
    Outcome outcome;
    const size_t before = server_.connection_count();
    Send(&outcome);
    ASSERT_TRUE(driver_.RunUntil([&] {
      return server_.connection_count() > before &&
             server_.connection(before).Has("/one");
    }));
    server_.connection(before).Write(answer);
    server_.connection(before).ShutdownWrite();
    ASSERT_TRUE(WaitFor(outcome));
    EXPECT_TRUE(outcome.failed) << answer;
    EXPECT_TRUE(outcome.sent) << answer;
  }
}

// Guards against an answer that is taken for an interim one, so that its caller
// waits until its time limit, and against a status that callers do not know.
TEST_F(BackendConnectionTest, MalformedStatusFailsTheAttempt) {
  ExpectProtocolFailures(AnswersWithMalformedStatus());
}

TEST_F(BackendConnectionTest, MalformedHeaderFailsTheAttempt) {
  ExpectProtocolFailures(AnswersWithMalformedHeader());
}

// Guards against a body of another extent than the server's, or in a coding
// that its receiver is not told of.
TEST_F(BackendConnectionTest, MalformedFramingFailsTheAttempt) {
  ExpectProtocolFailures(AnswersWithMalformedFraming());
}

// Guards against bytes that the caller takes for its next answer, and against a
// wait for a body that does not come: these answers end with their heads.
TEST_F(BackendConnectionTest, AnswersWithoutABodyEndWithTheirHeads) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    for (const char* body : {"", "stray"}) {
      Outcome outcome;
      RawSocket* const server = SendOnNewConnection(&outcome);
      ASSERT_NE(server, nullptr);
      server->Write(absl::StrCat("HTTP/1.1 ", status,
                                 "\r\nContent-Length: 5\r\n\r\n", body));
      driver_.RunFor(absl::Milliseconds(20));
      server->Reset();
      ASSERT_TRUE(WaitFor(outcome));
      EXPECT_TRUE(outcome.ended) << status << body;
      EXPECT_EQ(outcome.body, "") << status << body;
    }
  }
}

TEST_F(BackendConnectionTest, InterimAnswersAreSkipped) {
  Outcome outcome;
  Send(&outcome);
  ASSERT_TRUE(WaitForRequest("one"));
  server_.connection(0).Write("HTTP/1.1 100 Continue\r\n\r\n" +
                              std::string(kAnswer));
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_EQ(outcome.status, 200);
  EXPECT_EQ(outcome.body, "ok");
}

TEST_F(BackendConnectionTest, UnreachableServerWasSentNothing) {
  uint16_t port = 0;
  {
    FakeServer gone;
    port = gone.port();
  }
  Outcome outcome;
  pool_.Take({"127.0.0.1", port})
      ->Start("GET / HTTP/1.1\r\n\r\n", "", false, HandlersOf(&outcome));
  ASSERT_TRUE(WaitFor(outcome));
  EXPECT_EQ(outcome.failure, BackendFailure::kNotConnected);
  EXPECT_FALSE(outcome.sent);
}

}  // namespace
}  // namespace camphorsail
