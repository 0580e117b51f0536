#include <array>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/gateway/gateway.h"
#include "gtest/gtest.h"
#include "tests/fakes/gateway/fake_server.h"
#include "tests/fakes/gateway/loop_driver.h"
#include "tests/fakes/gateway/test_dialect.h"

// Tests of which requests an overloaded gateway refuses.
namespace camphorsail {
namespace {

constexpr char kShortPrompt[] = "X-Prompt: 800\r\n";
constexpr char kLongPrompt[] = "X-Prompt: 12000\r\n";
/// Lets the gateway assume that the engines read the other prompts at once.
constexpr char kHugePrompt[] = "X-Prompt: 1000000\r\n";

/// A gateway before two model engines that never answer. The requests of the
/// route /quick/ are more urgent than those of /bulk/ and have shorter prompts
/// and a shorter latency objective.
class GatewayAdmissionTest : public testing::Test {
 protected:
  /// @param slots Requests that an engine runs at the same time.
  explicit GatewayAdmissionTest(int slots = 4)
      : slots_(slots),
        gateway_(Settings(), MakeTestDialect(), &driver_.loop, &metrics_),
        registry_({}) {}

  void SetUp() override {
    ASSERT_TRUE(gateway_.Start());
    for (size_t i = 0; i < engines_.size(); ++i) {
      ServerAnnouncement announcement;
      announcement.server = BackendServerId("e" + std::to_string(i));
      announcement.version = {Incarnation(1), AnnouncementSequence(1)};
      announcement.description.address =
          "127.0.0.1:" + std::to_string(engines_[i].port());
      announcement.description.kind = ServerKind::kService;
      announcement.description.targets = {ModelId("model")};
      announcement.description.capacity = slots_;
      ASSERT_TRUE(registry_.OnAnnouncement(announcement, driver_.loop.now()));
    }
    gateway_.fleet().Apply(registry_.TakeChanges(driver_.loop.now()), registry_,
                           driver_.loop.now());
    RoutingTable table;
    table.version = 1;
    table.services = {
        {.name = ModelId("model"), .is_engine = true, .slots = slots_}};
    AddRoute(&table, "/quick/", /*rank=*/0, /*objective_ms=*/300);
    AddRoute(&table, "/bulk/", /*rank=*/1, /*objective_ms=*/2000);
    gateway_.SetTable(MakeRef<SharedRoutingTable>(table));
    gateway_.SetLease(MonoTime::Infinite());
  }

  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.ready_listen = {"127.0.0.1", 0};
    settings.pool.source_ip = "127.0.0.1";
    return settings;
  }
  static void AddRoute(RoutingTable* table,
                       const std::string& prefix,
                       int rank,
                       int64_t objective_ms) {
    Route route;
    route.name = prefix;
    route.host = "h";
    route.path_prefix = prefix;
    route.kind = RouteKind::kStream;
    route.targets = {{ModelId("model"), 1}};
    route.rank = rank;
    route.timeout_ms = 15000;
    route.objective_ms = objective_ms;
    route.is_public = true;
    table->routes.push_back(route);
  }

  /// Sends a request and waits until the gateway has sent it to an engine or
  /// has refused it.
  /// @return True when it was sent to an engine.
  /// @param headers Header lines beside those of every request.
  bool IsAdmitted(const std::string& path, const std::string& headers) {
    const size_t before = RequestsAtEngines();
    callers_.push_back(RawSocket::Connect(gateway_.callers_port()));
    RawSocket& caller = callers_.back();
    caller.Write("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " +
                 std::to_string(callers_.size()) + "\r\n" + headers +
                 "Content-Length: 4\r\n\r\nbody");
    const bool decided = driver_.RunUntil([&] {
      return RequestsAtEngines() > before || caller.Has("HTTP/1.1 503");
    });
    EXPECT_TRUE(decided);
    return RequestsAtEngines() > before;
  }
  /// Sends requests until one is refused.
  void FillEngines(const std::string& path, const std::string& headers) {
    constexpr int kMaxRequests = 200;
    for (int i = 0; i < kMaxRequests; ++i) {
      if (!IsAdmitted(path, headers)) {
        return;
      }
    }
    ADD_FAILURE() << "no request was refused";
  }
  size_t RequestsAtEngines() {
    size_t count = 0;
    for (FakeServer& engine : engines_) {
      count += engine.Count("\r\n\r\nbody");
    }
    return count;
  }

  const int slots_;
  std::array<FakeServer, 2> engines_;
  LoopDriver driver_;
  Metrics metrics_;
  Gateway gateway_;
  ServerRegistry registry_;
  std::vector<RawSocket> callers_;
};

/// Engines with so many slots that the wait for one of them is short.
class LargeEngineAdmissionTest : public GatewayAdmissionTest {
 protected:
  LargeEngineAdmissionTest() : GatewayAdmissionTest(16) {}
};

// Incident TIER: urgent streams were refused because the prompts of less urgent
// streams that an engine has not read yet were expected to be read first.
TEST_F(LargeEngineAdmissionTest, UrgentStreamIsNotRefusedForLessUrgentPrompts) {
  FillEngines("/bulk/", kLongPrompt);
  EXPECT_TRUE(IsAdmitted("/quick/", kShortPrompt));
  EXPECT_FALSE(IsAdmitted("/bulk/", kLongPrompt));
}

// Incident TIER: long prompts went on to engines with free slots that would not
// read them in time, while urgent streams waited there until their callers
// left.
TEST_F(LargeEngineAdmissionTest, EngineWithTooManyPromptsIsFull) {
  size_t admitted = 0;
  while (admitted < 2 * static_cast<size_t>(slots_) &&
         IsAdmitted("/bulk/", kLongPrompt)) {
    ++admitted;
  }
  EXPECT_LT(admitted, static_cast<size_t>(slots_));
}

// Incident TIER: a caller that waits for less than the route allows was taken
// for one that tries again, and refused although its answer would have begun
// within the latency objective.
TEST_F(LargeEngineAdmissionTest, CallerThatWaitsForLessIsAdmittedAlike) {
  ASSERT_TRUE(IsAdmitted("/quick/", kHugePrompt));
  FillEngines("/quick/", absl::StrCat(kShortPrompt, "X-Patience: 13000\r\n"));
  EXPECT_FALSE(IsAdmitted("/quick/", kShortPrompt));
}

// Incident TIER: an urgent stream with a short latency objective was refused at
// a queue at which a less urgent one with a longer objective was accepted.
TEST_F(GatewayAdmissionTest, LessUrgentStreamsAreRefusedFirst) {
  ASSERT_TRUE(IsAdmitted("/bulk/", kLongPrompt));
  constexpr int kUrgentStreams = 60;
  for (int i = 0; i < kUrgentStreams; ++i) {
    const bool is_admitted = IsAdmitted("/quick/", kShortPrompt);
    const bool is_bulk_admitted = IsAdmitted("/bulk/", kLongPrompt);
    EXPECT_TRUE(is_admitted || !is_bulk_admitted) << "pair " << i;
  }
}

// Load pattern: callers that try once more. Those that were refused for more
// urgent ones would come back while these are still late.
TEST_F(GatewayAdmissionTest, CallersRefusedForMoreUrgentOnesComeBackLater) {
  constexpr char kRetryAfter[] = "Retry-After: ";
  constexpr double kShortestSeconds = 1.5;
  constexpr int kMaxRounds = 20;
  for (int round = 0; round < kMaxRounds; ++round) {
    for (int i = 0; i < 2 * slots_; ++i) {
      EXPECT_TRUE(IsAdmitted("/quick/", kShortPrompt));
    }
    if (!IsAdmitted("/bulk/", kShortPrompt) &&
        callers_.back().Has("more urgent requests are late")) {
      const std::string& answer = callers_.back().received();
      const size_t at = answer.find(kRetryAfter);
      ASSERT_NE(at, std::string::npos);
      EXPECT_GE(std::stod(answer.substr(at + std::string(kRetryAfter).size())),
                kShortestSeconds);
      return;
    }
    driver_.RunFor(absl::Milliseconds(200));
  }
  FAIL() << "no request was refused for more urgent ones";
}

/// A gateway whose table tells three accounts apart.
class AccountAdmissionTest : public GatewayAdmissionTest {
 protected:
  void SetUp() override {
    GatewayAdmissionTest::SetUp();
    RoutingTable table;
    table.version = 2;
    table.services = {
        {.name = ModelId("model"), .is_engine = true, .slots = slots_}};
    AddRoute(&table, "/quick/", /*rank=*/0, /*objective_ms=*/300);
    // So long that nothing is refused because of its own wait.
    AddRoute(&table, "/bulk/", /*rank=*/1, /*objective_ms=*/60000);
    for (Route& route : table.routes) {
      route.is_public = false;
    }
    table.requires_api_keys = true;
    for (const char* name : {"urgent", "large", "small"}) {
      table.accounts.push_back({ClientAccountId(name), {name}, 0});
    }
    gateway_.SetTable(MakeRef<SharedRoutingTable>(table));
  }
};

// Load pattern: one account sends many times what another does, while more
// urgent requests are late. Guards against refusing both alike.
TEST_F(AccountAdmissionTest, LargeAccountIsRefusedBeforeASmallOne) {
  constexpr int kMaxRounds = 20;
  constexpr int kLargePerSmall = 6;
  int large_refused = 0;
  for (int round = 0; round < kMaxRounds && large_refused < 2; ++round) {
    for (int i = 0; i < 2 * slots_; ++i) {
      EXPECT_TRUE(IsAdmitted("/quick/",
                             absl::StrCat(kShortPrompt, "X-Key: urgent\r\n")));
    }
    for (int i = 0; i < kLargePerSmall; ++i) {
      large_refused +=
          IsAdmitted("/bulk/", absl::StrCat(kShortPrompt, "X-Key: large\r\n"))
              ? 0
              : 1;
    }
    EXPECT_TRUE(
        IsAdmitted("/bulk/", absl::StrCat(kShortPrompt, "X-Key: small\r\n")));
    driver_.RunFor(absl::Milliseconds(200));
  }
  EXPECT_GE(large_refused, 2);
  const std::vector<ServiceAccountWork> work =
      gateway_.TakeAccountWork(VmId("r"));
  ASSERT_EQ(work.size(), 1U);
  EXPECT_EQ(work[0].accounts.size(), 3U);
}

}  // namespace
}  // namespace camphorsail
