#include "camphorsail/quarantine/part_quarantine.h"

#include <string>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

const PromptPartHash kFirst(1);
const PromptPartHash kBad(2);
const PromptPartHash kRare(3);
constexpr absl::Duration kApart = absl::Seconds(1);

/// One gateway whose clock the test moves.
class PartQuarantineTest : public testing::Test {
 protected:
  PartQuarantineTest() { quarantine_.SetIdentity(VmId("g"), 5); }

  void Wait(absl::Duration duration) {
    now_ = now_ + duration;
    quarantine_.Advance(now_);
  }
  void Crash(const PromptPartHashes& parts, bool is_repeated = false) {
    quarantine_.OnCrash(CrashId(++crashes_), parts, is_repeated, now_);
    quarantine_.Advance(now_);
  }
  void Answer(const PromptPartHashes& parts, int count = 1) {
    for (int i = 0; i < count; ++i) {
      quarantine_.OnAnswerBegun(parts, now_);
    }
    quarantine_.Advance(now_);
  }
  PartTreatment Treatment(const PromptPartHashes& parts) const {
    return quarantine_.Judge(parts, now_).treatment;
  }
  /// Brings a part into quarantine.
  void Convict(const PromptPartHashes& parts) {
    for (int i = 0; i < PartQuarantine::kCrashesForVerdict; ++i) {
      Crash(parts);
      Answer({kFirst}, 5);
      Wait(kApart);
    }
    Wait(PartQuarantine::kSettleTime);
    ASSERT_EQ(Treatment(parts), PartTreatment::kQuarantined);
  }
  /// Gives the gateway another version of the replicated list.
  void SetList(uint64_t version, const std::vector<PromptPartHashes>& list) {
    QuarantineUpdate update;
    update.list_version = version;
    for (const PromptPartHashes& parts : list) {
      QuarantineEntry entry;
      entry.id = QuarantineIdOf(parts);
      entry.parts = parts;
      entry.crashes = 3;
      entry.trials = trials_;
      entry.trial_vm = VmId("g");
      entry.trial_process = 5;
      update.entries.push_back(entry);
    }
    quarantine_.OnUpdate(update, /*is_current=*/true, now_);
    quarantine_.Advance(now_);
  }

  MonoTime now_ = MonoTime::FromNanos(1'000'000'000'000);
  uint64_t crashes_ = 0;
  uint32_t trials_ = 0;
  PartQuarantine quarantine_;
};

TEST_F(PartQuarantineTest, TreatmentBecomesStricterWithEachCrash) {
  Answer({kFirst});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kNormal);
  Crash({kFirst, kBad});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kIsolated);
  EXPECT_EQ(Treatment({kFirst}), PartTreatment::kNormal);
  Wait(kApart);
  Crash({kFirst, kBad});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kOneAtATime);
  Wait(kApart);
  Crash({kFirst, kBad});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kUndecided);
  Answer({kFirst}, 5);
  Wait(PartQuarantine::kSettleTime);
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kQuarantined);
  EXPECT_EQ(Treatment({kFirst}), PartTreatment::kNormal);
  EXPECT_EQ(quarantine_.TakeNewVerdicts().size(), 1U);
}

TEST_F(PartQuarantineTest, AnAnswerClearsAPart) {
  Crash({kRare});
  Wait(kApart);
  Crash({kRare});
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kOneAtATime);
  Answer({kRare});
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kNormal);
  EXPECT_EQ(quarantine_.suspects(), 0U);
}

// Guards against a verdict on the parts of the requests of a rack or a service
// that ends at once.
TEST_F(PartQuarantineTest, CrashesAtTheSameMomentCountOnce) {
  for (int i = 0; i < 10; ++i) {
    Crash({kRare});
  }
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kIsolated);
  Answer({kFirst}, 5);
  Wait(PartQuarantine::kSettleTime * 2);
  EXPECT_EQ(quarantine_.verdicts(), 0U);
}

// A request that was sent again because its first server ended, and that ends
// the next one, has no common cause with the first but itself.
TEST_F(PartQuarantineTest, ARepeatedCrashCountsByItself) {
  Crash({kBad});
  Crash({kBad}, /*is_repeated=*/true);
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kOneAtATime);
}

// Guards against a verdict on every part that is asked for while a service
// fails as a whole, which would outlive the failure.
TEST_F(PartQuarantineTest, ServiceThatAnswersNothingGivesNoVerdict) {
  for (int i = 0; i < 10; ++i) {
    Crash({kFirst, kRare});
    Wait(kApart);
  }
  Wait(PartQuarantine::kSettleTime);
  EXPECT_EQ(quarantine_.verdicts(), 0U);
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kOneAtATime);
}

// Guards against a sound part being refused because it was at the same crashes
// as a harmful one, without the harmful one.
TEST_F(PartQuarantineTest, PartsThatAreAlwaysTogetherAreJudgedTogether) {
  Convict({kBad, kRare});
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kNormal);
  Answer({kRare});
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kQuarantined);
}

TEST_F(PartQuarantineTest, TheVerdictNarrowsWhenServersEndOnOnePartAlone) {
  Convict({kBad, kRare});
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kNormal);
  Crash({kBad});
  Wait(kApart);
  Crash({kBad});
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kQuarantined);
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kNormal);
}

// Guards against blaming bystanders for the crashes of a part that is known.
TEST_F(PartQuarantineTest, CrashesThatAVerdictExplainsAccuseNobodyElse) {
  Convict({kBad});
  for (int i = 0; i < 4; ++i) {
    Crash({kBad, kRare});
    Wait(kApart);
  }
  EXPECT_EQ(Treatment({kRare}), PartTreatment::kNormal);
}

// A gateway that has just started, or whose replica has, knows what is listed.
TEST_F(PartQuarantineTest, ListedEntriesAreInForceAndTheirReleaseEndsThem) {
  SetList(4, {{kBad}});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kQuarantined);
  EXPECT_TRUE(quarantine_.Report(now_).verdicts.empty());
  SetList(5, {});
  EXPECT_EQ(Treatment({kFirst, kBad}), PartTreatment::kNormal);
  EXPECT_EQ(quarantine_.TakeEndedVerdicts().size(), 1U);
}

// Guards against a verdict that comes back from the old evidence after an
// operator has released it.
TEST_F(PartQuarantineTest, ReleasedVerdictDoesNotComeBackByItself) {
  Convict({kBad});
  ASSERT_EQ(quarantine_.Report(now_).verdicts.size(), 1U);
  SetList(1, {{kBad}});
  EXPECT_TRUE(quarantine_.Report(now_).verdicts.empty());
  SetList(2, {});
  Wait(PartQuarantine::kSettleTime);
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kNormal);
  Convict({kBad});
}

// Guards against a quarantine that ends because the replicas have lost it.
TEST_F(PartQuarantineTest, VerdictsAreReportedAgainWhenTheListIsLost) {
  SetList(7, {{kBad}});
  SetList(0, {});
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kQuarantined);
  ASSERT_EQ(quarantine_.Report(now_).verdicts.size(), 1U);
  EXPECT_EQ(quarantine_.Report(now_).verdicts[0].parts, PromptPartHashes{kBad});
}

TEST_F(PartQuarantineTest, ATrialIsMadeOnceAndItsAnswerEndsTheEntry) {
  const QuarantineId entry = QuarantineIdOf({kBad});
  SetList(1, {{kBad}});
  EXPECT_FALSE(quarantine_.TakeTrial(entry));
  quarantine_.OnRefused(entry, now_);
  ASSERT_EQ(quarantine_.Report(now_).trials.size(), 1U);
  trials_ = 1;
  SetList(2, {{kBad}});
  EXPECT_TRUE(quarantine_.TakeTrial(entry));
  EXPECT_FALSE(quarantine_.TakeTrial(entry));
  Answer({kBad});
  EXPECT_EQ(Treatment({kBad}), PartTreatment::kNormal);
  EXPECT_EQ(quarantine_.Report(now_).sound, PromptPartHashes{kBad});
}

// Guards against a message that grows while nothing changes.
TEST_F(PartQuarantineTest, EvidenceIsSentOnlyWhileTheReplicaHasOther) {
  Crash({kBad});
  QuarantineReport report = quarantine_.Report(now_);
  EXPECT_EQ(report.crashes.size(), 1U);
  QuarantineUpdate update;
  update.evidence_digest = report.evidence_digest;
  quarantine_.OnUpdate(update, /*is_current=*/true, now_);
  EXPECT_TRUE(quarantine_.Report(now_).crashes.empty());
}

}  // namespace
}  // namespace camphorsail
