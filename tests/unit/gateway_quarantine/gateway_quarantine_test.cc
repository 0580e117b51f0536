#include <array>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/gateway/gateway.h"
#include "gtest/gtest.h"
#include "tests/fakes/gateway/fake_server.h"
#include "tests/fakes/gateway/loop_driver.h"
#include "tests/fakes/gateway/test_dialect.h"

// Tests of what a gateway does with requests that end the servers which take
// them.
namespace camphorsail {
namespace {

constexpr char kBadPart[] = "bad";
constexpr absl::Duration kReadTime = absl::Milliseconds(20);
constexpr absl::Duration kRestartTime = absl::Milliseconds(400);
constexpr absl::Duration kArrivalInterval = absl::Milliseconds(100);

/// A gateway before four model engines. An engine that gets a request with the
/// part `bad` ends and comes back as another incarnation; it answers all other
/// requests at once.
class GatewayQuarantineTest : public testing::Test {
 protected:
  struct Engine {
    std::unique_ptr<FakeServer> server;
    /// Connections whose request was answered, and the bytes of it.
    std::vector<size_t> answered;
    uint64_t incarnation = 0;
    MonoTime back_at;
    /// When the engine has read the prompt on which it ends.
    MonoTime reads_until = MonoTime::Infinite();
  };
  struct Caller {
    RawSocket socket;
    bool is_bad = false;
  };

  GatewayQuarantineTest()
      : gateway_(Settings(), MakeTestDialect(), &driver_.loop, &metrics_),
        registry_({}) {}

  void SetUp() override {
    ASSERT_TRUE(gateway_.Start());
    for (size_t i = 0; i < engines_.size(); ++i) {
      StartEngine(i);
    }
    RoutingTable table;
    table.version = 1;
    table.services = {
        {.name = ModelId("model"), .is_engine = true, .slots = 8}};
    Route route;
    route.name = "chat";
    route.host = "h";
    route.path_prefix = "/chat/";
    route.kind = RouteKind::kStream;
    route.targets = {{ModelId("model"), 1}};
    route.max_attempts = 3;
    route.timeout_ms = 15000;
    route.objective_ms = 2000;
    route.resumable = true;
    route.is_public = true;
    table.routes.push_back(route);
    gateway_.SetTable(MakeRef<SharedRoutingTable>(table));
    gateway_.SetLease(MonoTime::Infinite());
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.ready_listen = {"127.0.0.1", 0};
    settings.pool.source_ip = "127.0.0.1";
    settings.retries.slack = 1000;
    return settings;
  }

  void StartEngine(size_t i) {
    Engine& engine = engines_[i];
    engine.server = std::make_unique<FakeServer>();
    engine.answered.clear();
    engine.reads_until = MonoTime::Infinite();
    ServerAnnouncement announcement;
    announcement.server = BackendServerId(absl::StrCat("e", i));
    announcement.version = {Incarnation(++engine.incarnation),
                            AnnouncementSequence(1)};
    announcement.description.address =
        absl::StrCat("127.0.0.1:", engine.server->port());
    announcement.description.kind = ServerKind::kService;
    announcement.description.targets = {ModelId("model")};
    announcement.description.capacity = 8;
    ASSERT_TRUE(registry_.OnAnnouncement(announcement, driver_.loop.now()));
    gateway_.fleet().Apply(registry_.TakeChanges(driver_.loop.now()), registry_,
                           driver_.loop.now());
  }

  /// Sends a request whose last part no other one has.
  void Send(const std::string& parts) {
    SendAgain(absl::StrCat(parts, ",own", callers_.size()));
  }
  /// Sends a request under another request id.
  void SendAgain(const std::string& parts) {
    callers_.push_back({RawSocket::Connect(gateway_.callers_port()),
                        parts.find(kBadPart) != std::string::npos});
    callers_.back().socket.Write(absl::StrCat(
        "POST /chat/x HTTP/1.1\r\nHost: h\r\nX-Id: ", callers_.size(),
        "\r\nX-Prompt: 400\r\nX-Parts: ", parts,
        "\r\nContent-Length: 4\r\n\r\nbody"));
  }

  /// Lets the engines answer or end, and brings back those that have ended.
  void RunEngines() {
    for (size_t i = 0; i < engines_.size(); ++i) {
      Engine& engine = engines_[i];
      if (engine.server == nullptr) {
        if (driver_.loop.now() >= engine.back_at) {
          StartEngine(i);
        }
        continue;
      }
      engine.answered.resize(engine.server->connection_count(), 0);
      if (engine.server->Count(kBadPart) == 0) {
        engine.reads_until = MonoTime::Infinite();
      } else if (engine.reads_until == MonoTime::Infinite()) {
        engine.reads_until = driver_.loop.now() + kReadTime;
      }
      if (driver_.loop.now() >= engine.reads_until) {
        engine.server->Crash();
        engine.server = nullptr;
        engine.back_at = driver_.loop.now() + kRestartTime;
        ++crashes_;
        continue;
      }
      for (size_t c = 0; c < engine.answered.size(); ++c) {
        Answer(&engine.server->connection(c));
      }
    }
  }
  static void Answer(RawSocket* connection) {
    const std::string& request = connection->received();
    if (request.find("\r\n\r\nbody") == std::string::npos ||
        request.find(kBadPart) != std::string::npos) {
      return;
    }
    const size_t id = request.find("X-Id: ");
    const std::string id_line =
        request.substr(id, request.find("\r\n", id) - id);
    connection->Clear();
    connection->Write(
        absl::StrCat("HTTP/1.1 200 OK\r\n", id_line,
                     "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n"));
  }

  void RunFor(absl::Duration duration) {
    const MonoTime end = driver_.loop.now() + duration;
    while (driver_.loop.now() < end) {
      driver_.RunFor(absl::Milliseconds(2));
      RunEngines();
    }
  }
  /// Gives the gateway a replicated list with the part.
  void QuarantineBadPart() {
    QuarantineEntry entry;
    entry.parts =
        SharedPartHashes("", {{kBadPart, Tokens(1)}, {"own", Tokens(1)}});
    entry.id = QuarantineIdOf(entry.parts);
    QuarantineUpdate update;
    update.list_version = 1;
    update.entries = {entry};
    gateway_.OnQuarantineUpdate(update, /*is_current=*/true);
  }
  bool IsBadPartOnEngine() {
    size_t count = 0;
    for (Engine& engine : engines_) {
      count += engine.server->Count(kBadPart);
    }
    return count > 0;
  }
  /// @return Requests whose answer so far has the text.
  int CountAnswers(bool is_bad, const std::string& text) {
    int count = 0;
    for (Caller& caller : callers_) {
      count += caller.is_bad == is_bad && caller.socket.Has(text) ? 1 : 0;
    }
    return count;
  }

  std::array<Engine, 4> engines_;
  int crashes_ = 0;
  LoopDriver driver_;
  Metrics metrics_;
  Gateway gateway_;
  ServerRegistry registry_;
  std::vector<Caller> callers_;
};

// Incident BUDGET: requests with one part in their prompts ended each server
// that took them, and were handed to the next one by the gateway's own retries.
TEST_F(GatewayQuarantineTest, PartThatEndsServersStopsReachingThem) {
  constexpr int kRounds = 50;
  constexpr int kMaxCrashes = 5;
  for (int i = 0; i < kRounds; ++i) {
    Send("first,second");
    Send("first,other");
    if (i % 2 == 0) {
      Send(absl::StrCat("first,", kBadPart, ",second"));
    }
    RunFor(kArrivalInterval);
  }
  // The engines do end on the part, else the test would show nothing.
  EXPECT_GE(crashes_, PartQuarantine::kCrashesForVerdict);
  EXPECT_LE(crashes_, kMaxCrashes);
  RunFor(absl::Seconds(1));
  // The sound requests share all other parts. Some of them were at the servers
  // that ended.
  EXPECT_GE(CountAnswers(false, "data: a\n\n"), 2 * kRounds - 10);
}

// Guards against a request that ends each server which takes it, has only parts
// that others begin on, and comes again under another id.
TEST_F(GatewayQuarantineTest, RequestThatEndsServersStopsReachingThem) {
  constexpr int kRounds = 50;
  for (int i = 0; i < kRounds; ++i) {
    Send("first,second");
    Send("first,other");
    if (i % 2 == 0) {
      SendAgain(absl::StrCat("first,second,", kBadPart));
    }
    RunFor(kArrivalInterval);
  }
  EXPECT_EQ(crashes_, PartQuarantine::kCrashesForVerdict);
  RunFor(absl::Seconds(1));
  EXPECT_GE(CountAnswers(false, "data: a\n\n"), 2 * kRounds - 10);
}

// The refusal is true, and does not ask the caller to come back.
TEST_F(GatewayQuarantineTest, QuarantinedRequestsAreRefusedAsNotRun) {
  QuarantineBadPart();
  Send(absl::StrCat("first,", kBadPart));
  RawSocket& caller = callers_.back().socket;
  ASSERT_TRUE(
      driver_.RunUntil([&] { return caller.Has("prompt_part_quarantined"); }));
  EXPECT_TRUE(caller.Has("HTTP/1.1 503"));
  EXPECT_TRUE(caller.Has("\"request_was_run\":\"no\""));
  EXPECT_FALSE(caller.Has("Retry-After"));
  EXPECT_FALSE(IsBadPartOnEngine());
}

// Guards against a request that ends its server after the verdict: it waits at
// a server when the verdict comes.
TEST_F(GatewayQuarantineTest, VerdictEndsAttemptsThatHaveNotBegun) {
  Send(absl::StrCat("first,", kBadPart));
  ASSERT_TRUE(driver_.RunUntil([this] { return IsBadPartOnEngine(); }));
  QuarantineBadPart();
  RawSocket& caller = callers_.back().socket;
  ASSERT_TRUE(driver_.RunUntil([&] { return caller.Has("HTTP/1.1 502"); }));
  EXPECT_TRUE(caller.Has("\"request_was_run\":\"unknown\""));
  EXPECT_TRUE(gateway_.IsIdle());
}

}  // namespace
}  // namespace camphorsail
