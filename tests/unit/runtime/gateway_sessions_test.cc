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
                   .now = [this] { return now_; },
                   .true_micros = [] { return int64_t{0}; }}) {}

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
                   .now = [this] { return now_; },
                   .true_micros = [] { return int64_t{0}; }}) {
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

/// Sessions of two replicas, one gateway each.
class QuarantineSessionsTest : public GatewayLoadsTest {
 protected:
  QuarantineSessionsTest()
      : other_({.when_current = [](const auto&) {},
                .send = [](const VmId&, const GatewayUpdate&) {},
                .now = [this] { return now_; },
                .true_micros = [] { return int64_t{0}; }}) {}

  void PollWith(GatewaySessions* sessions,
                const std::string& gateway,
                const QuarantineReport& report) {
    GatewayPoll poll;
    poll.token = kProcess + ++token_;
    poll.quarantine = report;
    sessions->OnPoll(VmId(gateway), poll);
  }
  static QuarantineReport ReportOfACrash() {
    QuarantineReport report;
    report.evidence_digest = 5;
    report.crashes = {{CrashId(1), 40, false, {{PromptPartHash(7), false}}}};
    return report;
  }

  GatewaySessions other_;
};

// Incident BUDGET: no gateway knew what the others had seen.
TEST_F(QuarantineSessionsTest, EvidenceReachesTheGatewaysOfAnotherReplica) {
  PollWith(&other_, "b", ReportOfACrash());
  // The replicas find that they know different things, and send all of it.
  sessions_.OnGroupLoad(VmId("r2"), other_.GroupLoad());
  other_.OnGroupLoad(VmId("r"), sessions_.GroupLoad());
  sessions_.OnGroupLoad(VmId("r2"), other_.GroupLoad());
  PollWith(&sessions_, "a", QuarantineReport());
  CompleteRead();
  ASSERT_EQ(sent_.size(), 1U);
  ASSERT_EQ(sent_[0].quarantine.crashes.size(), 1U);
  EXPECT_EQ(sent_[0].quarantine.crashes[0].crash, CrashId(1));
  EXPECT_EQ(sessions_.CrashRecords().size(), 1U);
}

// Guards against messages that carry the evidence with each poll.
TEST_F(QuarantineSessionsTest, EvidenceIsNotSentToThoseThatHaveIt) {
  PollWith(&sessions_, "a", ReportOfACrash());
  CompleteRead();
  QuarantineReport report;
  report.evidence_digest = sent_.back().quarantine.evidence_digest;
  PollWith(&sessions_, "a", report);
  CompleteRead();
  EXPECT_TRUE(sent_.back().quarantine.crashes.empty());
  EXPECT_TRUE(sessions_.GroupLoad().quarantine.crashes.empty());
}

TEST_F(QuarantineSessionsTest, WhatGatewaysAskForIsProposedOnce) {
  QuarantineReport report;
  report.verdicts = {{{PromptPartHash(7)}, 3}};
  report.sound = {PromptPartHash(9)};
  PollWith(&other_, "b", report);
  sessions_.OnGroupLoad(VmId("r2"), other_.GroupLoad());
  const QuarantineStore list;
  const std::vector<QuarantineChange> changes =
      sessions_.QuarantineChanges(list, absl::UnixEpoch());
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].action, static_cast<uint8_t>(QuarantineAction::kAdd));
  EXPECT_EQ(changes[0].parts, PromptPartHashes{PromptPartHash(7)});
  EXPECT_EQ(changes[1].action,
            static_cast<uint8_t>(QuarantineAction::kRelease));
  EXPECT_TRUE(sessions_.QuarantineChanges(list, absl::UnixEpoch()).empty());
}

// Guards against a trial at each gateway, or before its time.
TEST_F(QuarantineSessionsTest, ATrialIsProposedWhenItIsDue) {
  QuarantineStore list;
  QuarantineChange add;
  add.action = static_cast<uint8_t>(QuarantineAction::kAdd);
  add.parts = {PromptPartHash(7)};
  ASSERT_TRUE(list.Apply(add, absl::UnixEpoch()));
  QuarantineReport report;
  report.trials = {{QuarantineIdOf(add.parts), VmId("a"), 4}};
  PollWith(&sessions_, "a", report);
  report.trials[0].gateway = VmId("b");
  PollWith(&sessions_, "b", report);
  const absl::Time due = absl::UnixEpoch() + QuarantineStore::kFirstTrialAfter;
  EXPECT_TRUE(
      sessions_.QuarantineChanges(list, due - absl::Seconds(1)).empty());
  const std::vector<QuarantineChange> changes =
      sessions_.QuarantineChanges(list, due);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].action, static_cast<uint8_t>(QuarantineAction::kTrial));
  EXPECT_EQ(changes[0].gateway, VmId("a"));
}

}  // namespace
}  // namespace camphorsail
