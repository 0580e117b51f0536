#include "camphorsail/quarantine/quarantine_store.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
const PromptPartHash kBad(7);
const PromptPartHash kOther(9);

QuarantineChange MakeChange(QuarantineAction action,
                            const PromptPartHashes& parts) {
  QuarantineChange change;
  change.action = static_cast<uint8_t>(action);
  change.parts = parts;
  change.crashes = 3;
  change.gateway = VmId("g1");
  change.process = 5;
  return change;
}

class QuarantineStoreTest : public testing::Test {
 protected:
  void Apply(QuarantineAction action,
             const PromptPartHashes& parts,
             absl::Duration after) {
    ASSERT_TRUE(store_.Apply(MakeChange(action, parts), kStart + after));
  }
  const QuarantineEntry* Find(const PromptPartHashes& parts) const {
    return store_.Find(QuarantineIdOf(parts));
  }

  QuarantineStore store_;
};

TEST_F(QuarantineStoreTest, AChangeThatIsAppliedAgainChangesNothing) {
  Apply(QuarantineAction::kAdd, {kBad}, absl::ZeroDuration());
  const uint64_t version = store_.version();
  Apply(QuarantineAction::kAdd, {kBad}, absl::Seconds(1));
  EXPECT_EQ(store_.version(), version);
  Apply(QuarantineAction::kRelease, {kBad}, absl::Seconds(2));
  Apply(QuarantineAction::kRelease, {kBad}, absl::Seconds(2));
  EXPECT_EQ(store_.version(), version + 1);
  EXPECT_TRUE(store_.empty());
}

// Guards against an entry that comes back at once because a gateway that has
// not heard of its release still asks for it.
TEST_F(QuarantineStoreTest, ReleasedPartsAreNotAddedAtOnce) {
  Apply(QuarantineAction::kAdd, {kBad}, absl::ZeroDuration());
  Apply(QuarantineAction::kRelease, {kBad}, absl::Seconds(1));
  Apply(QuarantineAction::kAdd, {kBad}, absl::Seconds(5));
  EXPECT_TRUE(store_.empty());
  Apply(QuarantineAction::kAdd, {kBad}, absl::Seconds(12));
  EXPECT_NE(Find({kBad}), nullptr);
}

TEST_F(QuarantineStoreTest, ReleaseOfOnePartNarrowsTheEntry) {
  Apply(QuarantineAction::kAdd, {kBad, kOther}, absl::ZeroDuration());
  Apply(QuarantineAction::kRelease, {kOther}, absl::Seconds(1));
  EXPECT_EQ(Find({kBad, kOther}), nullptr);
  EXPECT_NE(Find({kBad}), nullptr);
}

// Guards against one trial for each gateway, each of which ends a server.
TEST_F(QuarantineStoreTest, OneGatewayMayTryAndTheNextTrialIsLater) {
  Apply(QuarantineAction::kAdd, {kBad}, absl::ZeroDuration());
  Apply(QuarantineAction::kTrial, {kBad}, absl::Minutes(14));
  EXPECT_EQ(Find({kBad})->trials, 0U);
  Apply(QuarantineAction::kTrial, {kBad}, absl::Minutes(16));
  ASSERT_EQ(Find({kBad})->trials, 1U);
  EXPECT_EQ(Find({kBad})->trial_vm, VmId("g1"));
  EXPECT_EQ(Find({kBad})->trial_process, 5U);
  Apply(QuarantineAction::kTrial, {kBad}, absl::Minutes(17));
  Apply(QuarantineAction::kTrial, {kBad}, absl::Minutes(16 + 29));
  EXPECT_EQ(Find({kBad})->trials, 1U);
  Apply(QuarantineAction::kTrial, {kBad}, absl::Minutes(16 + 31));
  EXPECT_EQ(Find({kBad})->trials, 2U);
}

TEST_F(QuarantineStoreTest, SnapshotKeepsEverything) {
  Apply(QuarantineAction::kAdd, {kBad}, absl::ZeroDuration());
  Apply(QuarantineAction::kAdd, {kOther}, absl::ZeroDuration());
  Apply(QuarantineAction::kRelease, {kOther}, absl::Seconds(1));
  Expected<QuarantineStore> restored =
      QuarantineStore::Restore(store_.Snapshot());
  ASSERT_TRUE(restored);
  EXPECT_EQ(restored->Snapshot(), store_.Snapshot());
  EXPECT_EQ(restored->version(), store_.version());
  EXPECT_FALSE(QuarantineStore::Restore("x"));
}

TEST_F(QuarantineStoreTest, InvalidChangesAreRefusedAndTheSizeIsBounded) {
  EXPECT_FALSE(store_.Apply(MakeChange(QuarantineAction::kAdd, {}), kStart));
  EXPECT_FALSE(store_.Apply(
      MakeChange(static_cast<QuarantineAction>(9), {kBad}), kStart));
  EXPECT_FALSE(
      store_.Apply(MakeChange(QuarantineAction::kAdd, {kOther, kBad}), kStart));
  for (uint64_t i = 0; i < 2 * QuarantineStore::kMaxEntries; ++i) {
    Apply(QuarantineAction::kAdd, {PromptPartHash(i)}, absl::Seconds(i));
  }
  EXPECT_EQ(store_.Entries().size(), QuarantineStore::kMaxEntries);
  EXPECT_EQ(Find({PromptPartHash(0)}), nullptr);
}

}  // namespace
}  // namespace camphorsail
