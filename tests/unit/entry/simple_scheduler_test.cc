#include "camphorsail/entry/simple_scheduler.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

class SimpleSchedulerTest : public testing::Test {
 protected:
  void AddServer(const std::string& name, int capacity) {
    ServerView view;
    view.server = BackendServerId(name);
    view.incarnation = Incarnation(1);
    view.targets = {ModelId("m")};
    view.capacity = capacity;
    scheduler_.OnServerView(view, now_, &actions_);
  }
  void Arrive(uint64_t id) {
    RequestDescriptor request;
    request.request = RequestId(id);
    request.target = ModelId("m");
    request.arrival = now_;
    scheduler_.OnArrival(request, now_, &actions_);
  }
  void Finish(uint64_t id, const std::string& server, AttemptResult result) {
    AttemptOutcome outcome;
    outcome.request = RequestId(id);
    outcome.server = BackendServerId(server);
    outcome.result = result;
    scheduler_.OnAttemptFinished(outcome, now_, &actions_);
  }
  // Returns the server of the last action; empty when that is not a dispatch.
  std::string LastServer() const {
    const auto* dispatch = std::get_if<DispatchAction>(&actions_.back());
    return dispatch == nullptr ? "" : dispatch->server.value();
  }

  MonoTime now_ = MonoTime::FromNanos(1'000'000'000);
  SimpleScheduler scheduler_;
  std::vector<SchedulerAction> actions_;
};

// Guards against sending all requests to one server while another is idle.
TEST_F(SimpleSchedulerTest, PicksTheLeastLoadedServer) {
  AddServer("a", 8);
  AddServer("b", 8);
  Arrive(1);
  Arrive(2);
  EXPECT_NE(std::get<DispatchAction>(actions_[0]).server,
            std::get<DispatchAction>(actions_[1]).server);
}

// Guards against a queue that is not served when capacity returns.
TEST_F(SimpleSchedulerTest, QueuesInOrderOfArrival) {
  AddServer("a", 1);
  Arrive(1);
  Arrive(2);
  Arrive(3);
  ASSERT_EQ(actions_.size(), 1u);
  Finish(1, "a", AttemptResult::kCompleted);
  ASSERT_EQ(actions_.size(), 2u);
  EXPECT_EQ(std::get<DispatchAction>(actions_[1]).request, RequestId(2));
  scheduler_.OnCallerGone(RequestId(2), now_, &actions_);
  ASSERT_EQ(actions_.size(), 3u);
  EXPECT_EQ(std::get<DispatchAction>(actions_[2]).request, RequestId(3));
}

// Guards against a retry on the server that just failed and against endless
// retries.
TEST_F(SimpleSchedulerTest, RetriesElsewhereAndGivesUp) {
  AddServer("a", 8);
  AddServer("b", 8);
  Arrive(1);
  const std::string first = LastServer();
  Finish(1, first, AttemptResult::kFailed);
  EXPECT_NE(LastServer(), first);
  EXPECT_NE(LastServer(), "");
  for (int i = 0; i < 3; ++i) {
    Finish(1, LastServer(), AttemptResult::kFailed);
  }
  EXPECT_TRUE(std::holds_alternative<RefuseAction>(actions_.back()));
  EXPECT_EQ(actions_.size(), 5u);
}

// Guards against dispatching requests to a server that was removed.
TEST_F(SimpleSchedulerTest, RemovedServerGetsNoWork) {
  AddServer("a", 8);
  Arrive(1);
  scheduler_.OnServerRemoved(BackendServerId("a"), now_, &actions_);
  Arrive(2);
  ASSERT_TRUE(std::holds_alternative<RefuseAction>(actions_.back()));
  EXPECT_EQ(std::get<RefuseAction>(actions_.back()).error.kind,
            ErrorKind::kNoBackendServer);
}

// Guards against requests that stay queued past their deadline.
TEST_F(SimpleSchedulerTest, RefusesInTheQueueAfterTheDeadline) {
  AddServer("a", 1);
  Arrive(1);
  Arrive(2);
  now_ = now_ + absl::Seconds(61);
  scheduler_.OnTick(now_, &actions_);
  ASSERT_TRUE(std::holds_alternative<RefuseAction>(actions_.back()));
  EXPECT_EQ(std::get<RefuseAction>(actions_.back()).request, RequestId(2));
}

}  // namespace
}  // namespace camphorsail
