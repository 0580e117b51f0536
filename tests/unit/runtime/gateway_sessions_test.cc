#include "camphorsail/runtime/gateway_sessions.h"

#include <memory>
#include <string>
#include <vector>

#include "camphorsail/control/control_node.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr uint64_t kProcess = uint64_t{7} << 32;

/// Sessions of one replica whose reads never complete, so that only changes of
/// the table reach the gateways.
class GatewaySessionsTest : public testing::Test {
 protected:
  GatewaySessionsTest()
      : sessions_({.when_current = [](const auto&) {},
                   .send =
                       [this](const VmId&, const GatewayUpdate& update) {
                         sent_.push_back(update);
                       },
                   .now = [this] { return now_; }}) {}

  void Poll(uint64_t version) { PollWith(kProcess + ++token_, version); }
  void PollWith(uint64_t token, uint64_t version) {
    GatewayPoll poll;
    poll.token = token;
    poll.table_version = version;
    sessions_.OnPoll(VmId("g"), poll);
  }
  void SetTable(uint64_t version) {
    RoutingTable table;
    table.version = version;
    table.services = {{.name = ModelId("s" + std::to_string(version))}};
    sessions_.OnTable(MakeRef<SharedRoutingTable>(table));
  }

  MonoTime now_ = MonoTime::FromNanos(1'000'000'000'000);
  uint64_t token_ = 0;
  std::vector<GatewayUpdate> sent_;
  GatewaySessions sessions_;
};

TEST_F(GatewaySessionsTest, SendsTheWholeTableOnceAndThenDeltas) {
  Poll(0);
  SetTable(1);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].table.size(), 1U);
  SetTable(2);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].table.empty());
  ASSERT_EQ(sent_[1].deltas.size(), 1U);
  EXPECT_EQ(sent_[1].deltas[0].base_version, 1U);
}

// Guards against sending a large table again with each poll while it is still
// on its way, which on a slow link delays it more and more.
TEST_F(GatewaySessionsTest, WhatIsOnItsWayIsNotSentAgain) {
  Poll(0);
  SetTable(1);
  Poll(0);
  SetTable(2);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_TRUE(sent_[1].table.empty());
  EXPECT_EQ(sent_[1].deltas.size(), 1U);
}

// Guards against a gateway that never gets a change because it was lost.
TEST_F(GatewaySessionsTest, WhatWasLostIsSentAgain) {
  Poll(0);
  SetTable(1);
  Poll(1);
  SetTable(2);
  now_ = now_ + absl::Milliseconds(1200);
  Poll(1);
  SetTable(3);
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_EQ(sent_[2].deltas.size(), 2U);
}

// Guards against a restarted gateway that waits for a table that was sent to
// the process before it.
TEST_F(GatewaySessionsTest, RestartedGatewayGetsTheWholeTableAtOnce) {
  Poll(0);
  SetTable(1);
  PollWith((kProcess << 1) + 1, 0);
  SetTable(2);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[1].table.size(), 1U);
}

/// Sessions of a replica whose reads complete when the test says so.
class GatewayLoadsTest : public testing::Test {
 protected:
  GatewayLoadsTest()
      : sessions_({.when_current =
                       [this](ControlRuntime::CurrentCallback callback) {
                         reads_.push_back(std::move(callback));
                       },
                   .send =
                       [this](const VmId&, const GatewayUpdate& update) {
                         sent_.push_back(update);
                       },
                   .now = [this] { return now_; }}) {
    ControlNodeSettings settings;
    settings.replica.vm = VmId("r");
    settings.replica.voter_vms = {VmId("r")};
    settings.registration.vm = VmId("r");
    settings.registration.incarnation = Incarnation(1);
    DurableState state;
    state.replica = ReplicaId(1);
    state.is_new = true;
    node_ = *ControlNode::Create(settings, state, /*seed=*/1, now_,
                                 absl::UnixEpoch());
  }

  void Poll(const std::string& gateway, uint32_t in_flight) {
    GatewayPoll poll;
    poll.token = kProcess + ++token_;
    poll.loads = {{.server = 7, .in_flight = in_flight}};
    sessions_.OnPoll(VmId(gateway), poll);
  }
  void CompleteRead() {
    ASSERT_FALSE(reads_.empty());
    const ControlRuntime::CurrentCallback read = reads_.front();
    reads_.erase(reads_.begin());
    read({}, *node_);
  }

  MonoTime now_ = MonoTime::FromNanos(1'000'000'000'000);
  uint64_t token_ = 0;
  std::unique_ptr<ControlNode> node_;
  std::vector<ControlRuntime::CurrentCallback> reads_;
  std::vector<GatewayUpdate> sent_;
  GatewaySessions sessions_;
};

// Guards against a server that looks as if it had four billion requests: the
// load of a gateway's older poll was subtracted from a sum that had its newer
// one, which was smaller.
TEST_F(GatewayLoadsTest, PollsThatCrossAReadDoNotDistortTheLoad) {
  Poll("a", 5);
  Poll("b", 2);
  Poll("a", 1);
  CompleteRead();
  ASSERT_EQ(sent_.size(), 1U);
  ASSERT_EQ(sent_[0].loads.size(), 1U);
  EXPECT_EQ(sent_[0].loads[0].in_flight, 2U);
}

}  // namespace
}  // namespace camphorsail
