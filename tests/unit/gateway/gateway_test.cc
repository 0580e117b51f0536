#include "camphorsail/gateway/gateway.h"

#include <string>

#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "tests/fakes/gateway/fake_server.h"
#include "tests/fakes/gateway/loop_driver.h"
#include "tests/fakes/gateway/test_dialect.h"

namespace camphorsail {
namespace {

constexpr char kSigned[] = "X-Signature: s\r\n";

/// A gateway with raw sockets as callers and backend servers, on which the
/// tests write requests and answers as text.
class GatewayTest : public testing::Test {
 protected:
  GatewayTest()
      : gateway_(Settings(), MakeTestDialect(), &driver_.loop, &metrics_),
        registry_({}) {}

  void SetUp() override {
    ASSERT_TRUE(gateway_.Start());
    for (size_t i = 0; i < servers_.size(); ++i) {
      Announce(i, Incarnation(1), AnnouncementSequence(1));
    }
    RoutingTable table;
    table.version = 1;
    table.services = {{.name = ModelId("svc")}};
    table.requires_api_keys = true;
    table.accounts = {{ClientAccountId("acc"), {"key"}, std::nullopt}};
    AddRoute(&table, "/safe/", RouteKind::kIdempotent, 2, false);
    AddRoute(&table, "/unsafe/", RouteKind::kNonIdempotent, 1, false);
    AddRoute(&table, "/stream/", RouteKind::kStream, 2, true);
    AddRoute(&table, "/once/", RouteKind::kStream, 1, false);
    gateway_.SetTable(MakeRef<SharedRoutingTable>(table));
    gateway_.SetLease(MonoTime::Infinite());
  }

  /// Tells the gateway of a start of a server.
  /// @param i Index of the server.
  /// @param id Id in place of the server's.
  void Announce(size_t i,
                Incarnation incarnation,
                AnnouncementSequence sequence,
                const std::string& service = "svc",
                const std::string& id = "") {
    ServerAnnouncement announcement;
    announcement.server =
        BackendServerId(id.empty() ? "s" + std::to_string(i) : id);
    announcement.version = {incarnation, sequence};
    announcement.description.address =
        "127.0.0.1:" + std::to_string(servers_[i].port());
    announcement.description.kind = ServerKind::kService;
    announcement.description.targets = {ModelId(service)};
    announcement.description.capacity = 4;
    ASSERT_TRUE(registry_.OnAnnouncement(announcement, driver_.loop.now()));
    ServerRegistry::Changes changes = registry_.TakeChanges(driver_.loop.now());
    gateway_.fleet().Apply(changes, registry_, driver_.loop.now());
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.ready_listen = {"127.0.0.1", 0};
    settings.pool.source_ip = "127.0.0.1";
    settings.retries.slack = 100;
    settings.answers.max_answer_bytes = 1 << 20;
    settings.usage.window = absl::Seconds(5);
    return settings;
  }
  static void AddRoute(RoutingTable* table,
                       const std::string& prefix,
                       RouteKind kind,
                       int attempts,
                       bool resumable) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = kind;
    route.targets = {{ModelId("svc"), 1}};
    route.max_attempts = attempts;
    route.timeout_ms = 1500;
    route.resumable = resumable;
    table->routes.push_back(route);
  }

  RawSocket Call(const std::string& path,
                 const std::string& headers = "X-Key: key\r\n") {
    RawSocket caller = RawSocket::Connect(gateway_.callers_port());
    caller.Write("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: 42\r\n" +
                 headers + "Content-Length: 4\r\n\r\nbody");
    return caller;
  }
  /// Waits for the next attempt on any server and keeps the request in
  /// `last_request_`.
  /// @return The connection of the attempt; null when there is none.
  RawSocket* NextAttempt() {
    RawSocket* found = nullptr;
    driver_.RunUntil([&] {
      for (FakeServer& server : servers_) {
        server.Poll();
        for (size_t i = 0; i < server.connection_count(); ++i) {
          if (server.connection(i).Has("\r\n\r\nbody")) {
            found = &server.connection(i);
            last_request_ = found->received();
            found->Clear();
            return true;
          }
        }
      }
      return false;
    });
    return found;
  }
  bool NoFurtherAttempt() {
    driver_.RunFor(absl::Milliseconds(60));
    for (FakeServer& server : servers_) {
      if (server.Count("\r\n\r\nbody") > 0) {
        return false;
      }
    }
    return true;
  }
  static std::string Answer(const std::string& status,
                            const std::string& headers,
                            const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nX-Id: 42\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  /// @param signature Value of the server's signature.
  static std::string StreamHead(const std::string& signature) {
    return "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signature: " + signature +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  bool WaitFor(RawSocket* caller, const std::string& text) {
    return driver_.RunUntil([&] { return caller->Has(text); });
  }
  /// Lets the gateway learn how long the servers take for an answer.
  void LearnAnswerTime(absl::Duration time) {
    for (int i = 0; i < 8; ++i) {
      RawSocket caller = Call("/unsafe/x");
      RawSocket* server = NextAttempt();
      ASSERT_NE(server, nullptr);
      driver_.RunFor(time);
      server->Write(Answer("200 OK", kSigned, "done"));
      ASSERT_TRUE(WaitFor(&caller, "done"));
    }
  }
  /// @return Requests of all accounts that were counted as begun so far.
  uint64_t CountedRequests() {
    uint64_t requests = 0;
    for (const UsageCount& count : gateway_.usage().TakeReport(1)) {
      EXPECT_EQ(count.account, ClientAccountId("acc"));
      requests += count.requests;
    }
    return requests;
  }

  std::array<FakeServer, 2> servers_;
  LoopDriver driver_;
  Metrics metrics_;
  Gateway gateway_;
  ServerRegistry registry_;
  std::string last_request_;
};

TEST_F(GatewayTest, ForwardsARequestAndItsAnswer) {
  RawSocket caller =
      Call("/unsafe/x?q=1", "X-Key: key\r\nX-Account: forged\r\n");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  EXPECT_NE(last_request_.find("POST /unsafe/x?q=1 HTTP/1.1\r\n"),
            std::string::npos);
  EXPECT_NE(last_request_.find("X-Account: acc\r\n"), std::string::npos);
  EXPECT_EQ(last_request_.find("forged"), std::string::npos);
  EXPECT_EQ(last_request_.find("X-Key"), std::string::npos);
  server->Write(Answer("201 Created", kSigned, "made"));
  ASSERT_TRUE(WaitFor(&caller, "made"));
  EXPECT_TRUE(caller.Has("HTTP/1.1 201"));
  EXPECT_TRUE(caller.Has(kSigned));
}

TEST_F(GatewayTest, RefusesWhatTheTableDoesNotAllow) {
  RawSocket unknown_key = Call("/safe/x", "X-Key: other\r\n");
  EXPECT_TRUE(WaitFor(&unknown_key, "HTTP/1.1 401"));
  RawSocket unknown_route = Call("/none/x");
  EXPECT_TRUE(WaitFor(&unknown_route, "HTTP/1.1 404"));
  EXPECT_TRUE(NoFurtherAttempt());
}

// Load pattern: the whole fleet comes back at once. Guards against a gateway
// that gets callers although it refuses all of them, because it knows no server
// yet.
TEST_F(GatewayTest, IsReadyOnlyWithAViewOfTheServers) {
  Gateway gateway(Settings(), MakeTestDialect(), &driver_.loop, &metrics_);
  RoutingTable table;
  table.version = 1;
  table.services = {{.name = ModelId("svc")}};
  gateway.SetTable(MakeRef<SharedRoutingTable>(table));
  gateway.SetLease(MonoTime::Infinite());
  EXPECT_FALSE(gateway.IsReady());

  ServerRegistry registry({});
  ServerAnnouncement announcement;
  announcement.server = BackendServerId("s");
  announcement.version = {Incarnation(1), AnnouncementSequence(1)};
  announcement.description.address = "127.0.0.1:9";
  announcement.description.kind = ServerKind::kService;
  announcement.description.targets = {ModelId("svc")};
  ASSERT_TRUE(registry.OnAnnouncement(announcement, driver_.loop.now()));
  gateway.fleet().Apply(registry.TakeChanges(driver_.loop.now()), registry,
                        driver_.loop.now());
  EXPECT_TRUE(gateway.IsReady());

  // A gateway whose servers have all gone must stay: it tells callers when to
  // come back, and no other gateway has servers either.
  announcement.version = {Incarnation(1), AnnouncementSequence(2)};
  announcement.leaving = true;
  ASSERT_TRUE(registry.OnAnnouncement(announcement, driver_.loop.now()));
  gateway.fleet().Apply(registry.TakeChanges(driver_.loop.now()), registry,
                        driver_.loop.now());
  EXPECT_TRUE(gateway.fleet().ServersOf(ModelId("svc")).empty());
  EXPECT_TRUE(gateway.IsReady());
}

// Guards against a gateway that serves requests by a routing table that may
// have been replaced.
TEST_F(GatewayTest, RefusesWithoutALease) {
  gateway_.SetLease(driver_.loop.now());
  EXPECT_FALSE(gateway_.IsReady());
  RawSocket caller = Call("/safe/x");
  EXPECT_TRUE(WaitFor(&caller, "HTTP/1.1 503"));
  EXPECT_TRUE(caller.Has("\"request_was_run\":\"no\""));
  EXPECT_TRUE(caller.Has("Retry-After: "));
  EXPECT_TRUE(NoFurtherAttempt());
}

// When a server may have run a call that is not idempotent, the gateway must
// neither send it again nor state in its refusal that the call was not run.
TEST_F(GatewayTest, CallThatMayHaveRunIsReportedAsUnknownAndNotRepeated) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Reset();
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 502"));
  EXPECT_TRUE(caller.Has("\"request_was_run\":\"unknown\""));
  EXPECT_TRUE(NoFurtherAttempt());
}

TEST_F(GatewayTest, CallThatWasNotRunGoesToAnotherServer) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* first = NextAttempt();
  ASSERT_NE(first, nullptr);
  first->Write(Answer("503 Busy", "X-Not-Run: 1\r\n", ""));
  RawSocket* second = NextAttempt();
  ASSERT_NE(second, nullptr);
  EXPECT_NE(first, second);
  second->Write(Answer("200 OK", kSigned, "done"));
  EXPECT_TRUE(WaitFor(&caller, "done"));
}

TEST_F(GatewayTest, IdempotentCallIsRepeatedOnceAfterAFailure) {
  RawSocket caller = Call("/safe/x");
  RawSocket* first = NextAttempt();
  ASSERT_NE(first, nullptr);
  first->Reset();
  RawSocket* second = NextAttempt();
  ASSERT_NE(second, nullptr);
  second->Write(Answer("500 Error", kSigned, "sorry"));
  EXPECT_TRUE(WaitFor(&caller, "sorry"));
  EXPECT_TRUE(NoFurtherAttempt());
}

TEST_F(GatewayTest, AnswersToOtherRequestsAndUnsignedSuccessesAreNotForwarded) {
  RawSocket foreign = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(
      "HTTP/1.1 200 OK\r\nX-Id: 41\r\nX-Signature: s\r\nContent-Length: "
      "4\r\n\r\nevil");
  ASSERT_TRUE(WaitFor(&foreign, "HTTP/1.1 502"));
  EXPECT_FALSE(foreign.Has("evil"));
  RawSocket unsigned_answer = Call("/unsafe/x");
  server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(Answer("200 OK", "", "evil"));
  ASSERT_TRUE(WaitFor(&unsigned_answer, "HTTP/1.1 502"));
  EXPECT_FALSE(unsigned_answer.Has("evil"));
}

// Guards against an answer being lost, or a server being taken for ill, because
// of a load report that cannot be read.
TEST_F(GatewayTest, OddLoadReportIsCountedAndTheAnswerForwarded) {
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(
      Answer("200 OK", std::string(kSigned) + "X-Odd-Load: 1,x\r\n", "done"));
  EXPECT_TRUE(WaitFor(&caller, "done"));
  EXPECT_NE(
      metrics_.Render().find(
          "camphorsail_gateway_odd_load_reports_total{service=\"svc\"} 1"),
      std::string::npos);
}

TEST_F(GatewayTest, BrokenStreamResumesAfterItsLastCompleteEvent) {
  RawSocket caller = Call("/stream/x");
  RawSocket* first = NextAttempt();
  ASSERT_NE(first, nullptr);
  first->Write(StreamHead("one") + "1c\r\nid: 0\ndata: a\n\nid: 1\ndata:\r\n");
  ASSERT_TRUE(WaitFor(&caller, "data: a\n\n"));
  first->Reset();
  RawSocket* second = NextAttempt();
  ASSERT_NE(second, nullptr);
  EXPECT_NE(last_request_.find("X-Last: 0\r\n"), std::string::npos);
  second->Write(StreamHead("two") + "f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n");
  ASSERT_TRUE(WaitFor(&caller, "\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.Has("X-Signature: one"));
  EXPECT_FALSE(caller.Has("X-Signature: two"));
  EXPECT_TRUE(caller.Has("data: b\n\n"));
}

// Guards against a stream that looks complete to the caller although its last
// events are missing.
TEST_F(GatewayTest, BrokenStreamThatIsNotResumableIsAborted) {
  RawSocket caller = Call("/once/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(StreamHead("one") + "f\r\nid: 0\ndata: a\n\n\r\n");
  ASSERT_TRUE(WaitFor(&caller, "data: a\n\n"));
  server->Reset();
  EXPECT_TRUE(driver_.RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_FALSE(caller.Has("\r\n0\r\n"));
  EXPECT_TRUE(NoFurtherAttempt());
}

// Guards against a stream that looks complete to the caller because the server
// that should resume it answered with an error.
TEST_F(GatewayTest, StreamWhoseResumptionFailsIsAborted) {
  for (const char* status : {"500 Error", "404 Not Found"}) {
    RawSocket caller = Call("/stream/x");
    RawSocket* first = NextAttempt();
    ASSERT_NE(first, nullptr);
    first->Write(StreamHead("one") + "f\r\nid: 0\ndata: a\n\n\r\n");
    ASSERT_TRUE(WaitFor(&caller, "data: a\n\n"));
    first->Reset();
    RawSocket* second = NextAttempt();
    ASSERT_NE(second, nullptr);
    second->Write(Answer(status, kSigned, "sorry"));
    ASSERT_TRUE(driver_.RunUntil(
        [&] { return caller.HasEnded() || caller.Has("\r\n0\r\n\r\n"); }));
    EXPECT_FALSE(caller.Has("\r\n0\r\n")) << status;
    EXPECT_FALSE(caller.Has("sorry")) << status;
  }
}

/// Head of a stream that ends with its connection.
std::string UnframedHead(const std::string& signature) {
  return "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signature: " + signature +
         "\r\n\r\n";
}

// New on the users' pages: a stream may have neither a length nor chunks.
// Guards against one that ends inside an event, because its server ended, being
// forwarded as complete.
TEST_F(GatewayTest, StreamWithoutLengthThatEndsInsideAnEventIsAborted) {
  RawSocket caller = Call("/once/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(UnframedHead("one") + "id: 0\ndata: a\n\nid: 1\nda");
  ASSERT_TRUE(WaitFor(&caller, "data: a\n\n"));
  server->Close();
  EXPECT_TRUE(driver_.RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_FALSE(caller.Has("\r\n0\r\n"));
  EXPECT_FALSE(caller.Has("id: 1"));
  EXPECT_TRUE(NoFurtherAttempt());
}

TEST_F(GatewayTest, StreamWithoutLengthThatEndsInsideAnEventIsResumed) {
  RawSocket caller = Call("/stream/x");
  RawSocket* first = NextAttempt();
  ASSERT_NE(first, nullptr);
  first->Write(UnframedHead("one") + "id: 0\ndata: a\n\nid: 1\nda");
  ASSERT_TRUE(WaitFor(&caller, "data: a\n\n"));
  first->Close();
  RawSocket* second = NextAttempt();
  ASSERT_NE(second, nullptr);
  EXPECT_NE(last_request_.find("X-Last: 0\r\n"), std::string::npos);
  // The resumed stream has no length either, and ends with its last event.
  second->Write(UnframedHead("two") + "id: 1\ndata: b\n\n");
  second->Close();
  ASSERT_TRUE(WaitFor(&caller, "\r\n0\r\n\r\n"));
  EXPECT_TRUE(caller.Has("data: b\n\n"));
}

// Guards against a resumed stream that is cut again looking complete.
TEST_F(GatewayTest, ResumedStreamWithoutLengthThatIsCutIsAborted) {
  RawSocket caller = Call("/stream/x");
  for (int i = 0; i < 2; ++i) {
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    const std::string id = std::to_string(i);
    server->Write(UnframedHead(id) + "id: " + id + "\ndata: a\n\nid: 9\nda");
    ASSERT_TRUE(WaitFor(&caller, "id: " + id + "\n"));
    server->Close();
  }
  EXPECT_TRUE(driver_.RunUntil([&] { return caller.HasEnded(); }));
  EXPECT_FALSE(caller.Has("\r\n0\r\n"));
  EXPECT_FALSE(caller.Has("id: 9"));
}

// Guards against an empty success when a server ends after the head of an
// answer without a length, and against one that ends inside its first event.
TEST_F(GatewayTest, StreamWithoutLengthThatEndsBeforeAnEventIsNoAnswer) {
  for (const char* body : {"", "id: 0\ndata"}) {
    RawSocket caller = Call("/once/x");
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(UnframedHead("one") + body);
    driver_.RunFor(absl::Milliseconds(20));
    server->Close();
    ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 502")) << body;
    EXPECT_TRUE(caller.Has("\"request_was_run\":\"unknown\""));
  }
}

// An answer without a length that is reset, or half closed, before its end.
TEST_F(GatewayTest, StreamWithoutLengthEndsOnlyWithItsConnection) {
  RawSocket reset = Call("/once/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(UnframedHead("one") + "id: 0\ndata: a\n\n");
  ASSERT_TRUE(WaitFor(&reset, "data: a\n\n"));
  server->Reset();
  EXPECT_TRUE(driver_.RunUntil([&] { return reset.HasEnded(); }));
  EXPECT_FALSE(reset.Has("\r\n0\r\n"));
  RawSocket half_closed = Call("/once/x");
  server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(UnframedHead("one") + "id: 0\ndata: a\n\n");
  ASSERT_TRUE(WaitFor(&half_closed, "data: a\n\n"));
  server->ShutdownWrite();
  EXPECT_TRUE(WaitFor(&half_closed, "\r\n0\r\n\r\n"));
}

// A whole answer that is no stream may have no length either.
TEST_F(GatewayTest, CallWithoutLengthIsCompleteWithItsConnection) {
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(UnframedHead("one") + "whole");
  driver_.RunFor(absl::Milliseconds(20));
  EXPECT_FALSE(caller.Has("HTTP/1.1"));
  server->Close();
  ASSERT_TRUE(WaitFor(&caller, "whole"));
  EXPECT_TRUE(caller.Has("Content-Length: 5"));
}

TEST_F(GatewayTest, CallerThatLeavesCancelsItsCall) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  caller.Close();
  EXPECT_TRUE(driver_.RunUntil([&] { return server->HasEnded(); }));
  EXPECT_TRUE(gateway_.IsIdle());
}

TEST_F(GatewayTest, AnswersAtTheRoutesTimeout) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 504"));
  EXPECT_TRUE(driver_.RunUntil([&] { return server->HasEnded(); }));
}

// Reported by other operators: at the end of a planned stop, requests that had
// been passed on were cut without an answer, also ones that may not be
// repeated.
TEST_F(GatewayTest, EndOfADrainAnswersWhatIsInProgress) {
  RawSocket call = Call("/unsafe/x");
  ASSERT_NE(NextAttempt(), nullptr);
  RawSocket stream = Call("/once/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(StreamHead("one") + "f\r\nid: 0\ndata: a\n\n\r\n");
  ASSERT_TRUE(WaitFor(&stream, "data: a\n\n"));
  gateway_.BeginDrain(absl::Seconds(2));
  gateway_.StopCallers();
  gateway_.EndDrain();
  ASSERT_TRUE(WaitFor(&call, "HTTP/1.1 502"));
  EXPECT_TRUE(call.Has("\"request_was_run\":\"unknown\""));
  EXPECT_TRUE(driver_.RunUntil([&] { return stream.HasEnded(); }));
  EXPECT_FALSE(stream.Has("\r\n0\r\n"));
  EXPECT_TRUE(gateway_.IsIdle());
}

// Reported by other operators: requests that came late in a planned stop were
// taken although they could not be finished in time.
TEST_F(GatewayTest, LateRequestsOfADrainAreRefused) {
  gateway_.BeginDrain(absl::ZeroDuration());
  RawSocket caller = Call("/unsafe/x");
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 503"));
  EXPECT_TRUE(caller.Has("\"request_was_run\":\"no\""));
  EXPECT_TRUE(NoFurtherAttempt());
}

TEST_F(GatewayTest, DrainFinishesRequestsAndIsNotReady) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  gateway_.BeginDrain(absl::Seconds(2));
  gateway_.StopCallers();
  EXPECT_FALSE(gateway_.IsReady());
  EXPECT_FALSE(gateway_.IsIdle());
  server->Write(Answer("200 OK", kSigned, "done"));
  ASSERT_TRUE(WaitFor(&caller, "done"));
  EXPECT_TRUE(caller.Has("Connection: close"));
  EXPECT_TRUE(gateway_.IsIdle());
}

// Guards against resetting callers at a planned stop whose connections the
// kernel has established but the gateway has not accepted, and requests that
// have arrived on open connections but were not read.
TEST_F(GatewayTest, StopAnswersWhatHasJustArrived) {
  RawSocket open = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(Answer("200 OK", kSigned, "first"));
  ASSERT_TRUE(WaitFor(&open, "first"));
  open.Clear();
  open.Write(
      "POST /unsafe/y HTTP/1.1\r\nHost: h\r\nX-Id: 42\r\nX-Key: key\r\n"
      "Content-Length: 4\r\n\r\nbody");
  RawSocket fresh = Call("/unsafe/z");
  gateway_.BeginDrain(absl::Seconds(2));
  gateway_.StopCallers();
  for (int i = 0; i < 2; ++i) {
    server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(Answer("200 OK", kSigned, "last"));
  }
  EXPECT_TRUE(WaitFor(&open, "last"));
  EXPECT_TRUE(WaitFor(&fresh, "last"));
  EXPECT_TRUE(gateway_.IsIdle());
}

// Guards against acting on a lease that has expired while the process was
// paused between reading the clock and handling a request.
TEST_F(GatewayTest, PausedProcessDoesNotUseAnExpiredLease) {
  RawSocket caller = RawSocket::Connect(gateway_.callers_port());
  driver_.RunFor(absl::Milliseconds(20));
  gateway_.SetLease(driver_.loop.now() + absl::Milliseconds(200));
  driver_.loop.Post([] { absl::SleepFor(absl::Milliseconds(300)); });
  caller.Write(
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: 42\r\nX-Key: key\r\n"
      "Content-Length: 4\r\n\r\nbody");
  EXPECT_TRUE(WaitFor(&caller, "503"));
  EXPECT_TRUE(NoFurtherAttempt());
}

// Guards against the late second copy of an answer on a connection that has
// been used again: the next caller must not get it.
TEST_F(GatewayTest, LateSecondCopyReachesNoOtherCaller) {
  RawSocket first = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(Answer("200 OK", kSigned, "first"));
  ASSERT_TRUE(WaitFor(&first, "first"));
  RawSocket second = RawSocket::Connect(gateway_.callers_port());
  second.Write(
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: 43\r\nX-Key: key\r\n"
      "Content-Length: 4\r\n\r\nbody");
  RawSocket* again = NextAttempt();
  ASSERT_NE(again, nullptr);
  const std::string copy = Answer("200 OK", kSigned, "first");
  // Byte by byte, so that every split is seen.
  for (const char byte : copy) {
    again->Write({&byte, 1});
    driver_.RunFor(absl::Milliseconds(1));
  }
  EXPECT_TRUE(WaitFor(&second, "502"));
  EXPECT_FALSE(second.Has("first"));
  EXPECT_TRUE(driver_.RunUntil([&] { return again->HasEnded(); }));
  EXPECT_TRUE(NoFurtherAttempt());
}

/// Lets a server send a piece again and again until the gateway closes the
/// connection.
/// @param bytes Bytes after which the gateway is expected to have closed it.
/// @return True when it did.
bool ClosesEndlessAnswer(LoopDriver* driver,
                         RawSocket* server,
                         const std::string& piece,
                         size_t bytes) {
  for (size_t sent = 0; sent < bytes; sent += piece.size()) {
    if (server->HasEnded()) {
      return true;
    }
    server->Write(piece);
    driver->RunFor(absl::Milliseconds(1));
  }
  return server->HasEnded();
}

// The tests below guard against servers in trouble that send bytes without end:
// each of them ends its connection, and a request that may run again is
// answered by another server.
TEST_F(GatewayTest, EndlessBodyEndsTheAttempt) {
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(std::string("HTTP/1.1 200 OK\r\nX-Id: 42\r\n") + kSigned +
                "\r\n");
  EXPECT_TRUE(
      ClosesEndlessAnswer(&driver_, server, std::string(16384, 'x'), 4 << 20));
  RawSocket* other = NextAttempt();
  ASSERT_NE(other, nullptr);
  other->Write(Answer("200 OK", kSigned, "whole"));
  EXPECT_TRUE(WaitFor(&caller, "whole"));
}

TEST_F(GatewayTest, EndlessEventEndsTheAttempt) {
  RawSocket caller = Call("/once/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write(std::string("HTTP/1.1 200 OK\r\nX-Id: 42\r\n") + kSigned +
                "\r\ndata: ");
  EXPECT_TRUE(
      ClosesEndlessAnswer(&driver_, server, std::string(16384, 'x'), 4 << 20));
  EXPECT_TRUE(WaitFor(&caller, "502"));
}

TEST_F(GatewayTest, EndlessHeadEndsTheAttempt) {
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Write("HTTP/1.1 200 OK\r\n");
  EXPECT_TRUE(ClosesEndlessAnswer(
      &driver_, server, "X-More: " + std::string(4096, 'x') + "\r\n", 1 << 20));
  RawSocket* other = NextAttempt();
  ASSERT_NE(other, nullptr);
  other->Write(Answer("200 OK", kSigned, "whole"));
  EXPECT_TRUE(WaitFor(&caller, "whole"));
}

TEST_F(GatewayTest, EndlessInterimAnswersEndTheAttempt) {
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  EXPECT_TRUE(ClosesEndlessAnswer(&driver_, server,
                                  "HTTP/1.1 100 Continue\r\n\r\n", 100'000));
  RawSocket* other = NextAttempt();
  ASSERT_NE(other, nullptr);
  other->Write(Answer("200 OK", kSigned, "whole"));
  EXPECT_TRUE(WaitFor(&caller, "whole"));
}

// A faulty server writes an earlier refusal once more. The call that then waits
// on the connection has been sent, so that it must neither be answered as not
// run nor be sent to another server.
TEST_F(GatewayTest, LateSecondRefusalIsNotTakenForTheNextCall) {
  const std::string refusal = Answer("503 Full", "X-Not-Run: 1\r\n", "");
  RawSocket first = Call("/unsafe/x");
  RawSocket* refusing = NextAttempt();
  ASSERT_NE(refusing, nullptr);
  refusing->Write(refusal);
  RawSocket* serving = NextAttempt();
  ASSERT_NE(serving, nullptr);
  serving->Write(Answer("200 OK", kSigned, "first"));
  ASSERT_TRUE(WaitFor(&first, "first"));

  // Calls are sent until one is on the connection of the refusal.
  constexpr int kMaxCalls = 40;
  for (int i = 0; i < kMaxCalls; ++i) {
    RawSocket second = RawSocket::Connect(gateway_.callers_port());
    second.Write(
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Id: 43\r\nX-Key: key\r\n"
        "Content-Length: 4\r\n\r\nbody");
    RawSocket* next = NextAttempt();
    ASSERT_NE(next, nullptr);
    if (next == refusing) {
      refusing->Write(refusal);
      ASSERT_TRUE(WaitFor(&second, "HTTP/1.1 502"));
      EXPECT_FALSE(second.Has("\"request_was_run\":\"no\""));
      EXPECT_TRUE(NoFurtherAttempt());
      return;
    }
    next->Write(
        "HTTP/1.1 200 OK\r\nX-Id: 43\r\nX-Signature: s\r\n"
        "Content-Length: 0\r\n\r\n");
    ASSERT_TRUE(WaitFor(&second, "HTTP/1.1 200"));
  }
  FAIL() << "the connection was not used again";
}

// A server stops in the middle of its answer's head. A parser that takes the
// end of the connection for the end of the head would make it a whole answer
// without a body.
TEST_F(GatewayTest, HeadThatIsCutIsNoAnswer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signature: s\r\n"
      "Content-Length: 0\r\n\r\n";
  for (size_t size = 1; size < head.size(); size += 3) {
    RawSocket caller = Call("/unsafe/x");
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(head.substr(0, size));
    server->ShutdownWrite();
    ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 502")) << size;
  }
}

// A stream has begun and breaks off; the server that is to go on with it
// answers with an error, whose text belongs in no stream.
TEST_F(GatewayTest, ErrorOfTheNextServerIsNotWrittenIntoAStream) {
  for (const std::string status : {"500 Error", "503 Full", "404 Not Found"}) {
    RawSocket caller = Call("/stream/x");
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(StreamHead("a") + "f\r\nid: 0\ndata: a\n\n\r\n");
    ASSERT_TRUE(WaitFor(&caller, "data: a"));
    server->Reset();
    RawSocket* next = NextAttempt();
    ASSERT_NE(next, nullptr);
    next->Write(Answer(status, kSigned, "no such thing"));
    ASSERT_TRUE(driver_.RunUntil([&] { return caller.HasEnded(); }));
    EXPECT_FALSE(caller.Has("no such thing")) << status;
    EXPECT_FALSE(caller.Has("0\r\n\r\n")) << status;
  }
}

// A server that is leaving says so before the control VMs can. A request that
// it gets after that would be cut when it exits.
TEST_F(GatewayTest, ServerThatSaysItLeavesGetsNoFurtherRequests) {
  RawSocket caller = Call("/unsafe/x");
  RawSocket* leaving = NextAttempt();
  ASSERT_NE(leaving, nullptr);
  leaving->Write(Answer("500 Error", "X-Signature: s\r\nX-Leaving: 1\r\n", ""));
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 500"));
  const size_t gone = servers_[0].connection_count() > 0 ? 0 : 1;
  // Also when a late announcement of the same server arrives.
  ServerRegistry::Changes changes;
  changes.removed = {BackendServerId("s" + std::to_string(gone))};
  gateway_.fleet().Apply(changes, registry_, driver_.loop.now());
  Announce(gone, Incarnation(1), AnnouncementSequence(2));
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    RawSocket next_caller = Call("/unsafe/x");
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    EXPECT_EQ(servers_[gone].connection_count(), 1U);
    server->Write(Answer("200 OK", kSigned, "served"));
    ASSERT_TRUE(WaitFor(&next_caller, "served"));
  }
  // Another start of the server is another server.
  Announce(gone, Incarnation(2), AnnouncementSequence(1));
  bool is_used = false;
  for (int i = 0; i < kCalls && !is_used; ++i) {
    RawSocket next_caller = Call("/unsafe/x");
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(Answer("200 OK", kSigned, "served"));
    ASSERT_TRUE(WaitFor(&next_caller, "served"));
    is_used = servers_[gone].connection_count() > 1;
  }
  EXPECT_TRUE(is_used);
}

// A call that a server may have run finds no other server. The refusal must not
// say that it has not run.
TEST_F(GatewayTest, RefusalAfterAPossibleRunSaysSo) {
  ServerRegistry::Changes changes;
  changes.removed = {BackendServerId("s1")};
  gateway_.fleet().Apply(changes, registry_, driver_.loop.now());
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  server->Reset();
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 502"));
  EXPECT_FALSE(caller.Has("\"request_was_run\":\"no\""));
}

// When every server wants a pause, the caller is told at once when to come
// back, and no server gets a request before that.
TEST_F(GatewayTest, RestingServersGetNoRequests) {
  RawSocket caller = Call("/unsafe/x");
  for (size_t i = 0; i < servers_.size(); ++i) {
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(Answer("503 Full", "X-Not-Run: 1\r\nX-Rest: 60000\r\n", ""));
  }
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 503"));
  RawSocket next = Call("/unsafe/x");
  ASSERT_TRUE(WaitFor(&next, "HTTP/1.1 503"));
  EXPECT_TRUE(next.Has("have asked for a pause"));
  EXPECT_TRUE(next.Has("\"request_was_run\":\"no\""));
  EXPECT_TRUE(NoFurtherAttempt());
}

// Guards against an odd announcement that takes the place of a sound server:
// its requests would be sent with a line end in the middle of their heads, or
// to no server.
TEST_F(GatewayTest, OddAnnouncementDoesNotTakeTheAddressOfASoundServer) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    const std::string name = std::to_string(i);
    Announce(i, Incarnation(9), AnnouncementSequence(1), "svc",
             "s" + name + "\r\nX-Foreign: 1");
    Announce(i, Incarnation(9), AnnouncementSequence(1), "other", "o" + name);
  }
  RawSocket caller = Call("/safe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  EXPECT_EQ(last_request_.find("X-Foreign"), std::string::npos);
  server->Write(Answer("200 OK", kSigned, "whole"));
  EXPECT_TRUE(WaitFor(&caller, "whole"));
  EXPECT_EQ(gateway_.fleet().ServersOf(ModelId("svc")).size(), 2U);
  EXPECT_TRUE(gateway_.fleet().ServersOf(ModelId("other")).empty());
}

TEST_F(GatewayTest, ServerIsUsedOnceATableNamesItsService) {
  Announce(0, Incarnation(9), AnnouncementSequence(1), "other", "o0");
  RoutingTable table;
  table.version = 2;
  table.services = {{.name = ModelId("svc")}, {.name = ModelId("other")}};
  gateway_.SetTable(MakeRef<SharedRoutingTable>(table));
  EXPECT_EQ(gateway_.fleet().ServersOf(ModelId("other")).size(), 1U);
  EXPECT_EQ(gateway_.fleet().ServersOf(ModelId("svc")).size(), 1U);
}

// Guards against a planned stop that cuts answers which are complete at the
// gateway and still on their way to callers behind slow links.
TEST_F(GatewayTest, DrainWaitsUntilCallersHaveTakenTheirAnswers) {
  const std::string piece(100'000, 'x');
  constexpr size_t kPieces = 9;
  for (const std::string path : {"/safe/x", "/stream/x"}) {
    RawSocket caller = Call(path);
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    const std::string more = std::string(kSigned) + "Content-Length: " +
                             std::to_string(kPieces * piece.size() + 2) +
                             "\r\n\r\n";
    server->Write("HTTP/1.1 200 OK\r\nX-Id: 42\r\n" + more);
    for (size_t i = 0; i < kPieces; ++i) {
      server->Write(piece);
      driver_.RunFor(absl::Milliseconds(20));
    }
    server->Write("\n\n");
    driver_.RunFor(absl::Milliseconds(100));
    EXPECT_FALSE(gateway_.AreAnswersTaken()) << path;
    EXPECT_TRUE(driver_.RunUntil([&] {
      caller.Poll();
      return gateway_.IsIdle() && gateway_.AreAnswersTaken();
    })) << path;
    EXPECT_GT(caller.received().size(), kPieces * piece.size()) << path;
  }
}

// Guards against usage that lacks a request whose server says that it ran, or
// that has a request twice that was attempted twice.
TEST_F(GatewayTest, UsageCountsEachRequestThatBeganOnce) {
  gateway_.OnTrueTime(VmId("r1"), absl::FromUnixSeconds(1'000'000'000));
  RawSocket whole = Call("/unsafe/x");
  NextAttempt()->Write(Answer("404 Not Found", kSigned, "none"));
  ASSERT_TRUE(WaitFor(&whole, "none"));
  EXPECT_EQ(CountedRequests(), 1u);

  RawSocket resumed = Call("/stream/x");
  RawSocket* server = NextAttempt();
  server->Write(StreamHead("one") + "10\r\nid: 0\ndata: a\n\n\r\n");
  ASSERT_TRUE(WaitFor(&resumed, "data: a\n\n"));
  EXPECT_EQ(CountedRequests(), 2u) << "counted at the first event";
  server->Reset();
  NextAttempt()->Write(StreamHead("two") +
                       "f\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n");
  ASSERT_TRUE(WaitFor(&resumed, "\r\n0\r\n\r\n"));
  EXPECT_EQ(CountedRequests(), 2u) << "resumed streams count once";
}

// The server of the first attempt says that it ran the request, the other one
// says that it did not.
TEST_F(GatewayTest, UsageCountsAnErrorThatIsRetriedInVain) {
  LearnAnswerTime(absl::Milliseconds(60));
  gateway_.OnTrueTime(VmId("r1"), absl::FromUnixSeconds(1'000'000'000));
  RawSocket caller = Call("/safe/x");
  NextAttempt()->Write(Answer("500 Error", kSigned, "sorry"));
  RawSocket* second = NextAttempt();
  ASSERT_NE(second, nullptr);
  second->Write(Answer("503 Busy", "X-Not-Run: 1\r\n", ""));
  ASSERT_TRUE(WaitFor(&caller, "HTTP/1.1 5"));
  EXPECT_EQ(CountedRequests(), 1u);
}

// A connection that breaks before the answer was expected tells nothing.
TEST_F(GatewayTest, UsageCountsABreakAfterTheAnswerWasExpected) {
  LearnAnswerTime(absl::Milliseconds(60));
  gateway_.OnTrueTime(VmId("r1"), absl::FromUnixSeconds(1'000'000'000));
  RawSocket early = Call("/unsafe/x");
  NextAttempt()->Reset();
  ASSERT_TRUE(WaitFor(&early, "HTTP/1.1 502"));
  EXPECT_EQ(CountedRequests(), 0u);
  RawSocket late = Call("/unsafe/x");
  RawSocket* server = NextAttempt();
  ASSERT_NE(server, nullptr);
  driver_.RunFor(absl::Milliseconds(120));
  server->Reset();
  ASSERT_TRUE(WaitFor(&late, "HTTP/1.1 502"));
  EXPECT_EQ(CountedRequests(), 1u);
}

TEST_F(GatewayTest, UsageLeavesOutWhatDidNotBegin) {
  gateway_.OnTrueTime(VmId("r1"), absl::FromUnixSeconds(1'000'000'000));
  RawSocket refused = Call("/unsafe/x");
  for (int i = 0; i < 2; ++i) {
    RawSocket* server = NextAttempt();
    ASSERT_NE(server, nullptr);
    server->Write(Answer("503 Busy", "X-Not-Run: 1\r\n", ""));
  }
  ASSERT_TRUE(WaitFor(&refused, "HTTP/1.1 503"));
  RawSocket unknown = Call("/safe/x", "X-Key: other\r\n");
  ASSERT_TRUE(WaitFor(&unknown, "HTTP/1.1 401"));
  RawSocket silent = Call("/unsafe/x");
  ASSERT_NE(NextAttempt(), nullptr);
  ASSERT_TRUE(WaitFor(&silent, "HTTP/1.1 504"));
  EXPECT_EQ(CountedRequests(), 0u);
}

// A gateway that does not know the true time yet cannot tell the window.
TEST_F(GatewayTest, UsageIsNotCountedWithoutTheTime) {
  RawSocket caller = Call("/unsafe/x");
  NextAttempt()->Write(Answer("200 OK", kSigned, "done"));
  ASSERT_TRUE(WaitFor(&caller, "done"));
  EXPECT_EQ(CountedRequests(), 0u);
}

}  // namespace
}  // namespace camphorsail
