#include "camphorsail/gateway/crash_watch.h"

#include <optional>

#include "gtest/gtest.h"
#include "tests/fakes/gateway/fake_server.h"
#include "tests/fakes/gateway/loop_driver.h"

namespace camphorsail {
namespace {

class CrashWatchTest : public testing::Test {
 protected:
  Ref<BackendServer> ServerAt(uint16_t port) {
    auto server = MakeRef<BackendServer>();
    server->address = {"127.0.0.1", port};
    return server;
  }
  bool WaitForResult() {
    return driver_.RunUntil([this] { return ended_.has_value(); });
  }

  LoopDriver driver_;
  std::optional<bool> ended_;
  int results_ = 0;
  CrashWatch watch_{"127.0.0.1", &driver_.loop,
                    [this](const Ref<BackendServer>&, bool ended) {
                      ended_ = ended;
                      ++results_;
                    }};
};

// Guards against a reset connection being taken for the end of a server.
TEST_F(CrashWatchTest, ServerThatListensIsStillThere) {
  FakeServer server;
  watch_.Check(ServerAt(server.port()));
  ASSERT_TRUE(WaitForResult());
  EXPECT_FALSE(*ended_);
}

TEST_F(CrashWatchTest, ServerThatRefusesConnectionsHasEnded) {
  uint16_t port = 0;
  {
    FakeServer server;
    port = server.port();
  }
  watch_.Check(ServerAt(port));
  ASSERT_TRUE(WaitForResult());
  EXPECT_TRUE(*ended_);
}

// Guards against one connection for each of the many attempts that a server's
// end breaks at once.
TEST_F(CrashWatchTest, AttemptsThatBreakTogetherCauseOneCheck) {
  FakeServer server;
  const Ref<BackendServer> checked = ServerAt(server.port());
  for (int i = 0; i < 30; ++i) {
    watch_.Check(checked);
  }
  EXPECT_TRUE(watch_.IsChecking(*checked));
  ASSERT_TRUE(WaitForResult());
  EXPECT_FALSE(watch_.IsChecking(*checked));
  driver_.RunFor(absl::Milliseconds(20));
  EXPECT_EQ(results_, 1);
  EXPECT_EQ(server.connection_count(), 1U);
}

}  // namespace
}  // namespace camphorsail
