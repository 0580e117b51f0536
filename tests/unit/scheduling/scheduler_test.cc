#include "camphorsail/scheduling/scheduler.h"

#include <memory>
#include <string>
#include <vector>

#include "camphorsail/scheduling/admission_controller.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime::FromNanos(static_cast<int64_t>(seconds * 1e9));
}

class SchedulerTest : public testing::Test {
 protected:
  SchedulerTest() {
    SchedulerSettings settings;
    settings.vm = VmId("vm-0");
    scheduler_ = std::move(*Scheduler::Create(settings));
  }

  void AddServer(const std::string& id,
                 int capacity,
                 uint64_t incarnation = 1,
                 const std::vector<ModelId>& targets = {ModelId("m")},
                 ServerKind kind = ServerKind::kModelEngine) {
    ServerView view;
    view.server = BackendServerId(id);
    view.incarnation = Incarnation(incarnation);
    view.kind = kind;
    view.targets = targets;
    view.capacity = capacity;
    view.reported_at = now_;
    scheduler_->OnServerView(view, now_, &actions_);
  }
  RequestDescriptor Request(uint8_t tier, const std::string& class_id) {
    RequestDescriptor request;
    request.request = RequestId(++last_request_);
    request.account = ClientAccountId("account");
    request.class_id = ClassId(class_id);
    request.target = ModelId("m");
    request.tier = Tier(tier);
    request.arrival = now_;
    request.ttft_target = absl::Seconds(2);
    request.total_target = absl::Seconds(60);
    request.prompt_tokens = Tokens(100);
    request.max_output_tokens = Tokens(200);
    return request;
  }
  void Arrive(const RequestDescriptor& request) {
    scheduler_->OnArrival(request, now_, &actions_);
  }
  void Finish(const DispatchAction& dispatch, AttemptResult result) {
    scheduler_->OnAttemptFinished({dispatch.request, dispatch.attempt,
                                   dispatch.server, result, Tokens(0)},
                                  now_, &actions_);
  }
  void Tick(double seconds) {
    now_ = At(seconds);
    scheduler_->OnTick(now_, &actions_);
  }
  /// Removes the actions of one type and returns them.
  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> taken;
    for (const SchedulerAction& action : actions_) {
      if (const auto* match = std::get_if<Action>(&action)) {
        taken.push_back(*match);
      }
    }
    std::erase_if(actions_, [](const SchedulerAction& action) {
      return std::holds_alternative<Action>(action);
    });
    return taken;
  }

  MonoTime now_ = At(1);
  uint64_t last_request_ = 0;
  std::vector<SchedulerAction> actions_;
  std::unique_ptr<Scheduler> scheduler_;
};

// Guards against accepting a request while there is no server for its target.
TEST_F(SchedulerTest, RefusesWithoutServer) {
  Arrive(Request(0, "plan"));
  const auto refused = Take<RefuseAction>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].error.kind, ErrorKind::kNoBackendServer);
  EXPECT_GT(refused[0].error.retry_after, absl::ZeroDuration());
  EXPECT_EQ(scheduler_->request_count(), 0U);
}

// Guards against a non-idempotent request that runs twice because it is sent
// again after an attempt that may have run.
TEST_F(SchedulerTest, NonIdempotentIsNotRetriedAfterItMayHaveRun) {
  AddServer("a", 4);
  for (const AttemptResult result :
       {AttemptResult::kFailed, AttemptResult::kTimedOut}) {
    RequestDescriptor request = Request(0, "booking");
    request.idempotent = false;
    Arrive(request);
    const auto dispatched = Take<DispatchAction>();
    ASSERT_EQ(dispatched.size(), 1U);
    Finish(dispatched[0], result);
    EXPECT_TRUE(Take<DispatchAction>().empty());
    const auto refused = Take<RefuseAction>();
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(GetErrorTraits(refused[0].error.kind).request_was_run,
              RequestWasRun::kUnknown);
  }
}

// Guards against refusing a non-idempotent request after an attempt that was
// certainly not run.
TEST_F(SchedulerTest, NonIdempotentIsSentAgainWhenNotRun) {
  AddServer("a", 4);
  RequestDescriptor request = Request(0, "booking");
  request.idempotent = false;
  Arrive(request);
  const auto first = Take<DispatchAction>();
  ASSERT_EQ(first.size(), 1U);
  Finish(first[0], AttemptResult::kNotSent);
  const auto second = Take<DispatchAction>();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_GT(second[0].attempt, first[0].attempt);
}

// Guards against retries without limit when every attempt fails.
TEST_F(SchedulerTest, RetriesEndWithTheBudget) {
  AddServer("a", 4);
  RequestDescriptor request = Request(0, "plan");
  request.retry_budget_ratio = 0;
  Arrive(request);
  int attempts = 0;
  for (int i = 0; i < 100; ++i) {
    Tick(1 + 0.1 * i);
    const auto dispatched = Take<DispatchAction>();
    for (const DispatchAction& dispatch : dispatched) {
      ++attempts;
      Finish(dispatch, AttemptResult::kNotSent);
    }
  }
  EXPECT_LE(attempts, 1 + RetryBudget::kMaximum);
}

// Guards against a late outcome of an earlier attempt that ends the current
// attempt.
TEST_F(SchedulerTest, LateOutcomeOfAnOlderAttemptIsIgnored) {
  AddServer("a", 4);
  Arrive(Request(0, "plan"));
  const auto first = Take<DispatchAction>();
  ASSERT_EQ(first.size(), 1U);
  Finish(first[0], AttemptResult::kFailed);
  ASSERT_EQ(Take<DispatchAction>().size(), 1U);
  Finish(first[0], AttemptResult::kCompleted);
  EXPECT_EQ(scheduler_->request_count(), 1U);
}

// Guards against new requests for a removed server, and against ignoring the
// end of requests that were still running on it.
TEST_F(SchedulerTest, RemovedServerFinishesButGetsNothingNew) {
  AddServer("a", 1);
  Arrive(Request(0, "plan"));
  const auto running = Take<DispatchAction>();
  ASSERT_EQ(running.size(), 1U);
  scheduler_->OnServerRemoved(BackendServerId("a"), now_, &actions_);
  Arrive(Request(0, "plan"));
  EXPECT_TRUE(Take<DispatchAction>().empty());
  Finish(running[0], AttemptResult::kCompleted);
  Tick(1.1);
  EXPECT_EQ(scheduler_->request_count(), 0U);
}

// Guards against requests of a crashed incarnation that are counted as load of
// the new one.
TEST_F(SchedulerTest, NewIncarnationStartsEmpty) {
  AddServer("a", 1);
  Arrive(Request(0, "plan"));
  ASSERT_EQ(Take<DispatchAction>().size(), 1U);
  AddServer("a", 1, /*incarnation=*/2);
  Arrive(Request(0, "plan"));
  const auto dispatched = Take<DispatchAction>();
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_EQ(dispatched[0].incarnation, Incarnation(2));
}

// Guards against refusing requests of a tier while a peer still accepts lower
// tiers, and against requests that wait beyond their first-token target.
TEST_F(SchedulerTest, QueuesUntilPeersHaveClosedLowerTiers) {
  AddServer("a", 2);
  Tick(1);
  LoadDigest peer;
  peer.vm = VmId("vm-1");
  peer.sequence = 1;
  LoadDigest::PoolState pool;
  pool.target = ModelId("m");
  peer.pools.push_back(pool);
  scheduler_->OnPeerDigest(peer, now_);
  for (int i = 0; i < 40; ++i) {
    Arrive(Request(1, "tag"));
  }
  EXPECT_TRUE(Take<RefuseAction>().empty());
  // The digest tells the peer of the lack of capacity, and the peer confirms
  // that it has closed the lower tiers.
  Tick(1.01);
  const auto shared = Take<SendDigestAction>();
  ASSERT_FALSE(shared.empty());
  EXPECT_TRUE(shared.back().digest.pools[0].tiers[1].overloaded);
  EXPECT_FALSE(shared.back().digest.pools[0].tiers[2].open);
  peer.sequence = 2;
  for (int t = 2; t < kTierCount; ++t) {
    peer.pools[0].tiers[t].open = false;
  }
  now_ = At(1.02);
  scheduler_->OnPeerDigest(peer, now_);
  Arrive(Request(1, "tag"));
  const auto refused = Take<RefuseAction>();
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].error.kind, ErrorKind::kOverloaded);
  EXPECT_GE(refused[0].error.retry_after, absl::Seconds(1));
  // After the first-token target no request waits.
  Tick(3.1);
  EXPECT_EQ(Take<RefuseAction>().size() + Take<DispatchAction>().size(), 40U);
}

// Guards against lower-tier requests that are dispatched before a waiting
// request of a higher tier.
TEST_F(SchedulerTest, HigherTierGoesFirst) {
  AddServer("a", 1);
  Arrive(Request(2, "draft"));
  const auto running = Take<DispatchAction>();
  ASSERT_EQ(running.size(), 1U);
  Arrive(Request(2, "draft"));
  const RequestDescriptor urgent = Request(1, "tag");
  Arrive(urgent);
  Finish(running[0], AttemptResult::kCompleted);
  const auto next = Take<DispatchAction>();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].request, urgent.request);
}

// Guards against requests of the highest tier that wait behind lower-tier
// requests that the engine could preempt.
TEST_F(SchedulerTest, HighestTierPreemptsAtOnce) {
  AddServer("a", 1);
  Arrive(Request(2, "draft"));
  ASSERT_EQ(Take<DispatchAction>().size(), 1U);
  Arrive(Request(0, "plan"));
  const auto dispatched = Take<DispatchAction>();
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_EQ(dispatched[0].engine_priority, 0);
}

// Guards against requests that stay in the queue after their caller has
// disconnected.
TEST_F(SchedulerTest, RequestOfAGoneCallerLeavesTheQueue) {
  AddServer("a", 1);
  Arrive(Request(1, "tag"));
  const RequestDescriptor waiting = Request(1, "tag");
  Arrive(waiting);
  EXPECT_EQ(scheduler_->request_count(), 2U);
  scheduler_->OnCallerGone(waiting.request, now_, &actions_);
  EXPECT_EQ(scheduler_->request_count(), 1U);
}

// Guards against waiting requests that are never dispatched after a server that
// answers targets of two pools has merged them.
TEST_F(SchedulerTest, PoolsMergeWithTheirQueues) {
  AddServer("a", 1, 1, {ModelId("m")});
  AddServer("b", 1, 1, {ModelId("n")});
  Arrive(Request(1, "tag"));
  Arrive(Request(1, "tag"));
  ASSERT_EQ(Take<DispatchAction>().size(), 1U);
  AddServer("c", 2, 1, {ModelId("n"), ModelId("m")});
  const auto dispatched = Take<DispatchAction>();
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_EQ(dispatched[0].server, BackendServerId("c"));
}

// Guards against a daemon that ends when a server that has changed its kind
// within an incarnation leaves, or when another server of its pool leaves.
TEST_F(SchedulerTest, ServerThatChangedItsKindMayLeave) {
  AddServer("a", 4);
  AddServer("b", 4);
  AddServer("a", 4, 1, {ModelId("m")}, ServerKind::kService);
  scheduler_->OnServerRemoved(BackendServerId("a"), now_, &actions_);
  scheduler_->OnServerRemoved(BackendServerId("b"), now_, &actions_);
  Arrive(Request(0, "plan"));
  EXPECT_EQ(Take<RefuseAction>().size(), 1U);
}

// Guards against requests for a target that are sent to a server that no longer
// answers it, and against a free slot that is counted twice, or not at all,
// when a request ends on a server that has changed its targets meanwhile.
TEST_F(SchedulerTest, ServerThatChangedItsTargetsGetsOnlyTheirRequests) {
  AddServer("a", 1);
  Arrive(Request(0, "plan"));
  const auto running = Take<DispatchAction>();
  ASSERT_EQ(running.size(), 1U);
  AddServer("a", 1, 1, {ModelId("n")});
  Arrive(Request(0, "plan"));
  EXPECT_TRUE(Take<DispatchAction>().empty());
  EXPECT_EQ(Take<RefuseAction>().size(), 1U);

  RequestDescriptor other = Request(0, "plan");
  other.target = ModelId("n");
  Arrive(other);
  EXPECT_TRUE(Take<DispatchAction>().empty()) << "the only slot is taken";
  Finish(running[0], AttemptResult::kCompleted);
  Tick(1.1);
  const auto next = Take<DispatchAction>();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].request, other.request);
  other.request = RequestId(++last_request_);
  Arrive(other);
  EXPECT_TRUE(Take<DispatchAction>().empty());
}

// Guards against settings out of range, such as a number of VMs of zero, which
// would cause a division by zero.
TEST(SchedulerSettingsTest, RejectsValuesOutOfRange) {
  SchedulerSettings settings;
  EXPECT_FALSE(Scheduler::Create(settings).has_value());
  settings.vm = VmId("vm");
  EXPECT_TRUE(Scheduler::Create(settings).has_value());
  settings.vm_count = 0;
  EXPECT_FALSE(Scheduler::Create(settings).has_value());
}

}  // namespace
}  // namespace camphorsail
