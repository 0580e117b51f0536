#include "camphorsail/control/control_node.h"

#include "camphorsail/accounting/minute_marks.h"
#include "camphorsail/accounting/refused_minutes.h"
#include "camphorsail/ledger/ledger.h"
#include "camphorsail/settings/settings_store.h"
#include "gtest/gtest.h"
#include "tests/unit/control_node/control_cluster.h"

namespace camphorsail {
namespace {

constexpr uint64_t kSeed = 20261204;

bool AllAdmit(ControlCluster* cluster, const std::vector<int>& vms) {
  for (int vm : vms) {
    if (!cluster->MayAdmit(vm)) {
      return false;
    }
  }
  return true;
}

class ControlNodeTest : public testing::Test {
 protected:
  ControlNodeTest() : cluster_(4, kSeed) {
    started_ = cluster_.RunUntil(
        [this] {
          return AllAdmit(&cluster_, {0, 1, 2, 3});
        },
        absl::Seconds(20));
  }
  void SetUp() override { ASSERT_TRUE(started_); }

  bool Accepted(int vm, uint64_t id) {
    const auto& answers = cluster_.vm(vm).answers;
    const auto position = answers.find(id);
    return position != answers.end() && position->second.has_value() &&
           !position->second->error.has_value();
  }

  bool WaitAnswer(int vm, uint64_t id) {
    return cluster_.RunUntil(
        [&] { return cluster_.vm(vm).answers.count(id) > 0; },
        absl::Seconds(10));
  }

  LedgerOpen MakeOpen(int vm, uint64_t request, const std::string& key) {
    LedgerOpen open;
    open.key = LedgerKey::ForIdempotencyKey(ClientAccountId("account"),
                                            IdempotencyKey(key));
    open.request_digest = "digest";
    open.request = RequestId(request);
    open.vm = ControlCluster::Name(vm);
    open.attempt = AttemptNumber(1);
    open.wall_micros = 1'800'000'000'000'000;
    return open;
  }

  ControlCluster cluster_;
  bool started_ = false;
};

// Guards against a VM that is cut off and still admits requests with settings
// older than an accepted change.
TEST_F(ControlNodeTest, AcceptedChangeIsInForceWhereverRequestsAreAdmitted) {
  const int cut = cluster_.Leader() == 3 ? 2 : 3;
  const int leader = cluster_.Leader();
  std::vector<int> rest;
  for (int i = 0; i < 4; ++i) {
    if (i != cut) {
      rest.push_back(i);
    }
  }
  cluster_.CutConnections({cut}, rest);
  const MonoTime submitted = cluster_.now();
  const uint64_t id =
      cluster_.SubmitChange(leader, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(cluster_.RunUntil([&] { return Accepted(leader, id); },
                                absl::Seconds(3)));
  EXPECT_LE(cluster_.now() - submitted, absl::Seconds(3));
  for (int i = 0; i < 4; ++i) {
    if (cluster_.MayAdmit(i)) {
      EXPECT_EQ(cluster_.vm(i).settings->settings_version, SettingsVersion(1))
          << "vm" << i;
    }
  }
  EXPECT_FALSE(cluster_.MayAdmit(cut));
  cluster_.RestoreConnections();
  ASSERT_TRUE(cluster_.RunUntil([&] { return cluster_.MayAdmit(cut); },
                                absl::Seconds(20)));
  EXPECT_EQ(cluster_.vm(cut).settings->settings_version, SettingsVersion(1));
}

// Guards against refusing every request when two of four VMs are lost, and
// against accepting a settings change without a quorum.
TEST_F(ControlNodeTest, TwoRemainingVmsAdmitButAcceptNoChange) {
  cluster_.Kill(0);
  cluster_.Kill(1);
  cluster_.RunFor(absl::Seconds(10));
  EXPECT_TRUE(AllAdmit(&cluster_, {2, 3}));
  const uint64_t id =
      cluster_.SubmitChange(2, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(2, id));
  EXPECT_FALSE(Accepted(2, id));
  EXPECT_TRUE(AllAdmit(&cluster_, {2, 3}));
  cluster_.Start(0);
  ASSERT_TRUE(cluster_.RunUntil([&] { return cluster_.MayAdmit(0); },
                                absl::Seconds(20)));
}

// Guards against a VM that refuses every request when it restarts while two
// others are lost, and against minutes of its new process that are reported as
// marked although the process could not register.
TEST_F(ControlNodeTest, RestartWhileTwoOthersAreLostAdmitsWithUnmarkedMinutes) {
  cluster_.RunFor(absl::Minutes(1));
  cluster_.Kill(0);
  cluster_.Kill(1);
  cluster_.Kill(3);
  cluster_.RunFor(absl::Seconds(1));
  cluster_.Start(3);
  EXPECT_TRUE(cluster_.RunUntil([&] { return cluster_.MayAdmit(3); },
                                absl::Seconds(10)));
  EXPECT_FALSE(cluster_.vm(3).node->registered());
  const MinuteIndex minute = cluster_.vm(3).node->minute();
  cluster_.RunFor(absl::Minutes(2));
  cluster_.Start(0);
  ASSERT_TRUE(cluster_.RunUntil(
      [&] { return cluster_.vm(3).node->registered(); }, absl::Seconds(20)));
  cluster_.RunFor(absl::Minutes(2));
  const auto basis =
      cluster_.vm(3).node->state().minute_marks().Basis(minute, minute);
  ASSERT_EQ(basis.size(), 1u);
  EXPECT_FALSE(basis.front().is_confirmed());
}

// Guards against a process that resumes after a freeze and admits requests on
// an expired lease or still acts as the leader.
TEST_F(ControlNodeTest, FrozenLeaderDoesNotAdmitWhenItResumes) {
  const int leader = cluster_.Leader();
  cluster_.vm(leader).frozen = true;
  cluster_.RunFor(absl::Minutes(2));
  EXPECT_FALSE(cluster_.MayAdmit(leader));
  const int next = cluster_.Leader();
  ASSERT_GE(next, 0);
  const uint64_t id =
      cluster_.SubmitChange(next, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(next, id));
  EXPECT_TRUE(Accepted(next, id));
  cluster_.vm(leader).frozen = false;
  EXPECT_FALSE(cluster_.MayAdmit(leader));
  ASSERT_TRUE(cluster_.RunUntil([&] { return cluster_.MayAdmit(leader); },
                                absl::Seconds(20)));
  EXPECT_EQ(cluster_.vm(leader).settings->settings_version, SettingsVersion(1));
}

// Guards against a settings change that is resent through another VM and is
// applied twice or gets a different answer.
TEST_F(ControlNodeTest, ResentChangeGetsTheFirstAnswerOnAnotherVm) {
  const uint64_t first =
      cluster_.SubmitChange(0, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(0, first));
  const uint64_t other =
      cluster_.SubmitChange(1, "change-2", 0, "ttft_target_ms", "800");
  const uint64_t resent =
      cluster_.SubmitChange(2, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(1, other));
  ASSERT_TRUE(WaitAnswer(2, resent));
  EXPECT_TRUE(Accepted(0, first));
  EXPECT_TRUE(Accepted(2, resent));
  EXPECT_EQ(cluster_.vm(2).answers.at(resent)->settings_version,
            SettingsVersion(1));
  ASSERT_TRUE(cluster_.vm(1).answers.at(other).has_value());
  EXPECT_EQ(cluster_.vm(1).answers.at(other)->error->kind,
            ErrorKind::kSettingsConflict);
}

// Guards against a request that is run a second time after the VM that sent it
// was lost while it ran.
TEST_F(ControlNodeTest, RepeatAfterTheSenderIsLostIsNeverSent) {
  cluster_.Post(0, LedgerOpenEvent{MakeOpen(0, 1, "key")});
  ASSERT_TRUE(cluster_.RunUntil(
      [&] { return cluster_.vm(0).ledger_answers.count(RequestId(1)) > 0; },
      absl::Seconds(5)));
  EXPECT_EQ(cluster_.vm(0).ledger_answers.at(RequestId(1))->verdict,
            LedgerVerdict::kSend);
  cluster_.Kill(0);
  cluster_.Post(1, LedgerOpenEvent{MakeOpen(1, 2, "key")});
  ASSERT_TRUE(cluster_.RunUntil(
      [&] { return cluster_.vm(1).ledger_answers.count(RequestId(2)) > 0; },
      absl::Seconds(10)));
  const auto& answer = cluster_.vm(1).ledger_answers.at(RequestId(2));
  // After an error the request is not sent either.
  EXPECT_TRUE(!answer || answer->verdict == LedgerVerdict::kUnknown);
}

// Guards against a ledger record that stays open after the outcome of its
// request was reported, and against a repeat on another VM that gets a
// different answer.
TEST_F(ControlNodeTest, RepeatOnAnotherVmGetsTheRecordedOutcome) {
  cluster_.Post(0, LedgerOpenEvent{MakeOpen(0, 1, "key")});
  ASSERT_TRUE(cluster_.RunUntil(
      [&] { return cluster_.vm(0).ledger_answers.count(RequestId(1)) > 0; },
      absl::Seconds(5)));
  LedgerClose close;
  close.key = MakeOpen(0, 1, "key").key;
  close.request = RequestId(1);
  close.attempt = AttemptNumber(1);
  close.outcome.http_status = 201;
  close.outcome.body = "booked";
  cluster_.Post(0, LedgerCloseEvent{close});
  cluster_.RunFor(absl::Seconds(1));
  cluster_.Post(3, LedgerOpenEvent{MakeOpen(3, 2, "key")});
  ASSERT_TRUE(cluster_.RunUntil(
      [&] { return cluster_.vm(3).ledger_answers.count(RequestId(2)) > 0; },
      absl::Seconds(5)));
  const auto& answer = cluster_.vm(3).ledger_answers.at(RequestId(2));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->verdict, LedgerVerdict::kRecorded);
  EXPECT_EQ(answer->outcome.body, "booked");
}

// Guards against an idempotency key that stays blocked for a day because its
// record was committed after the sender had given up and answered "not run".
TEST_F(ControlNodeTest, GivenUpOpenIsClosedAsNotRun) {
  const int leader = cluster_.Leader();
  const int sender = leader == 0 ? 1 : 0;
  std::vector<int> rest;
  for (int i = 0; i < 4; ++i) {
    if (i != sender) {
      rest.push_back(i);
    }
  }
  cluster_.Post(sender, LedgerOpenEvent{MakeOpen(sender, 1, "key")});
  // The command has been sent when the connections are cut; its answer is lost.
  cluster_.RunFor(absl::Milliseconds(4));
  cluster_.CutConnections({sender}, rest);
  ASSERT_TRUE(cluster_.RunUntil(
      [&] {
        return cluster_.vm(sender).ledger_answers.count(RequestId(1)) > 0;
      },
      absl::Seconds(5)));
  EXPECT_FALSE(cluster_.vm(sender).ledger_answers.at(RequestId(1)).has_value());
  cluster_.RestoreConnections();
  cluster_.RunFor(absl::Seconds(10));
  cluster_.Post(leader, LedgerOpenEvent{MakeOpen(leader, 2, "key")});
  ASSERT_TRUE(cluster_.RunUntil(
      [&] {
        return cluster_.vm(leader).ledger_answers.count(RequestId(2)) > 0;
      },
      absl::Seconds(5)));
  const auto& answer = cluster_.vm(leader).ledger_answers.at(RequestId(2));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->verdict, LedgerVerdict::kSend);
}

// Guards against refused minutes that are lost together with the VM that
// refused the requests, and against minutes of a lost VM that are reported as
// marked.
TEST_F(ControlNodeTest, RefusedMinutesSurviveTheVm) {
  cluster_.Post(0, RefusalEvent{ClientAccountId("account"), ClassId("class"),
                                ErrorKind::kOverloaded});
  cluster_.Post(0, RefusalEvent{ClientAccountId("account"), ClassId("class"),
                                ErrorKind::kNotReady});
  cluster_.RunFor(absl::Seconds(1));
  const MinuteIndex minute = cluster_.vm(0).node->minute();
  cluster_.Kill(0);
  cluster_.RunFor(absl::Minutes(2));
  const ControlState& state = cluster_.vm(1).node->state();
  const auto records = state.refused_minutes().Range(minute, minute);
  ASSERT_EQ(records.size(), 1u);
  EXPECT_EQ(records.front().reason, ErrorKind::kOverloaded);
  const auto basis = state.minute_marks().Basis(minute, minute);
  ASSERT_EQ(basis.size(), 1u);
  EXPECT_FALSE(basis.front().is_confirmed());
  const MinuteIndex later(minute.value() + 1);
  EXPECT_TRUE(state.minute_marks().Basis(later, later).front().is_confirmed());
}

// Guards against a replica that votes without its earlier state after its disk
// was replaced by an empty one, and against a fleet that cannot commit when a
// second VM is lost right after the first has rejoined.
TEST_F(ControlNodeTest, EmptyDiskRejoinsBeforeASecondLoss) {
  const uint64_t id =
      cluster_.SubmitChange(0, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(0, id));
  cluster_.Kill(1);
  cluster_.LoseDisk(1);
  cluster_.Start(1);
  ASSERT_TRUE(cluster_.RunUntil(
      [&] {
        const Replica& replica = cluster_.vm(1).node->replica();
        return replica.CurrentMembership().IsVoter(replica.id()) &&
               cluster_.MayAdmit(1);
      },
      absl::Seconds(30)));
  cluster_.Kill(2);
  ASSERT_TRUE(cluster_.RunUntil([&] { return cluster_.Leader() >= 0; },
                                absl::Seconds(20)));
  const int leader = cluster_.Leader();
  const uint64_t next =
      cluster_.SubmitChange(leader, "change-2", 1, "ttft_target_ms", "800");
  ASSERT_TRUE(WaitAnswer(leader, next));
  EXPECT_TRUE(Accepted(leader, next));
  for (int i : {0, 1, 3}) {
    EXPECT_EQ(cluster_.vm(i).node->replica().CurrentMembership().VoterCount(),
              4u);
  }
}

// Guards against a read that misses a change which was accepted on another VM.
TEST_F(ControlNodeTest, ReadSeesEveryChangeAcceptedBefore) {
  const uint64_t id =
      cluster_.SubmitChange(0, "change-1", 0, "ttft_target_ms", "700");
  ASSERT_TRUE(WaitAnswer(0, id));
  for (int i = 0; i < 4; ++i) {
    cluster_.Post(i, ReadEvent{77});
    ASSERT_TRUE(cluster_.RunUntil(
        [&] { return cluster_.vm(i).reads.count(77) > 0; }, absl::Seconds(5)));
    ASSERT_TRUE(cluster_.vm(i).reads.at(77).has_value());
    EXPECT_EQ(cluster_.vm(i).node->state().settings().version(),
              SettingsVersion(1));
  }
}

}  // namespace
}  // namespace camphorsail
