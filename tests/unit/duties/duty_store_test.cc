#include "camphorsail/duties/duty_store.h"

#include "camphorsail/base/msgpack_unpack.h"
#include "camphorsail/control/control_state.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

DutyClaim Claim(const std::string& vm, uint64_t term) {
  return {VmId(vm), Incarnation(1), TermNumber(term)};
}

UsageAgreement Agreement(int64_t number, uint64_t requests) {
  return {
      {UsageWindowNumber(number), {{ClientAccountId("account"), requests}}}};
}

UsageSettlement Settlement(int64_t number) {
  return {UsageWindowNumber(number)};
}

const ServerOrderSubject kSubject = {ModelId("service"), FailureDomainId("fd"),
                                     ServerTenure::kReclaimable};

OrderSettlement Order(int count, uint64_t token, uint64_t call) {
  return {{kSubject, count}, DutyToken(token), call};
}

// Guards against a token that two holders use, and against a leader of an
// earlier term whose late claim takes the duties from the present one.
TEST(DutyStoreTest, EachClaimRaisesTheTokenAndStaleClaimsAreRefused) {
  DutyStore store;
  ASSERT_TRUE(store.Apply(Claim("a", 3)));
  EXPECT_EQ(store.holder().token, DutyToken(1));
  ASSERT_TRUE(store.Apply(Claim("b", 5)));
  EXPECT_EQ(store.holder().token, DutyToken(2));
  const auto stale = store.Apply(Claim("a", 4));
  ASSERT_FALSE(stale);
  EXPECT_EQ(stale.error().kind, ErrorKind::kNotLeader);
  EXPECT_EQ(store.holder().claim, Claim("b", 5));
  ASSERT_TRUE(store.Apply(Claim("b", 5)));
  EXPECT_EQ(store.holder().token, DutyToken(3));
}

// Guards against two contents of one report.
TEST(DutyStoreTest, FirstContentOfAWindowStays) {
  DutyStore store;
  ASSERT_TRUE(store.Apply(Agreement(7, 10)));
  ASSERT_TRUE(store.Apply(Agreement(7, 11)));
  EXPECT_EQ(store.open_windows().at(UsageWindowNumber(7)),
            Agreement(7, 10).window);
  ASSERT_TRUE(store.Apply(Settlement(7)));
  ASSERT_TRUE(store.Apply(Agreement(7, 12)));
  EXPECT_TRUE(store.open_windows().empty());
  EXPECT_TRUE(store.IsAgreed(UsageWindowNumber(7)));
}

// Guards against another content for a window whose report was given up: the
// provider may have accepted it.
TEST(DutyStoreTest, WindowThatIsGivenUpIsNotAgreedAgain) {
  DutyStore store;
  const auto windows = static_cast<int64_t>(DutyStore::kMaxOpenWindows);
  for (int64_t number = 10; number <= windows + 10; ++number) {
    ASSERT_TRUE(store.Apply(Agreement(number, 1)));
  }
  EXPECT_EQ(store.open_windows().size(), DutyStore::kMaxOpenWindows);
  EXPECT_EQ(store.abandoned_windows(), 1U);
  EXPECT_TRUE(store.IsAgreed(UsageWindowNumber(10)));
  EXPECT_FALSE(store.Apply(Agreement(10, 2)));
  EXPECT_FALSE(store.open_windows().contains(UsageWindowNumber(10)));
  EXPECT_EQ(store.abandoned_windows(), 1U);
}

// Guards against another content for a window that was settled long ago, and
// against a driver that proposes it again and again.
TEST(DutyStoreTest, WindowsBeforeTheKeptOnesAreNotAgreed) {
  DutyStore store;
  const auto windows = static_cast<int64_t>(DutyStore::kMaxSettledWindows);
  for (int64_t number = 10; number <= windows + 10; ++number) {
    ASSERT_TRUE(store.Apply(Agreement(number, 1)));
    ASSERT_TRUE(store.Apply(Settlement(number)));
  }
  EXPECT_EQ(store.settled_windows().size(), DutyStore::kMaxSettledWindows);
  EXPECT_TRUE(store.IsAgreed(UsageWindowNumber(10)));
  EXPECT_FALSE(store.Apply(Agreement(10, 2)));
  EXPECT_EQ(store.abandoned_windows(), 0U);
}

// Guards against an open window that is lost because many later ones are
// settled before it.
TEST(DutyStoreTest, OpenWindowStaysWhileLaterOnesAreSettled) {
  DutyStore store;
  ASSERT_TRUE(store.Apply(Agreement(1, 5)));
  const auto windows = static_cast<int64_t>(DutyStore::kMaxSettledWindows);
  for (int64_t number = 2; number < windows + 10; ++number) {
    ASSERT_TRUE(store.Apply(Settlement(number)));
  }
  EXPECT_EQ(store.open_windows().size(), 1U);
  ASSERT_TRUE(store.Apply(Settlement(1)));
  EXPECT_TRUE(store.open_windows().empty());
  EXPECT_TRUE(store.IsAgreed(UsageWindowNumber(1)));
}

// Guards against an accepted order that an earlier one replaces, because its
// settlement is committed late or twice.
TEST(DutyStoreTest, SettlementOfAnEarlierCallDoesNotReplaceALaterOne) {
  DutyStore store;
  ASSERT_TRUE(store.Apply(Order(3, 2, 5)));
  ASSERT_TRUE(store.Apply(Order(4, 2, 4)));
  EXPECT_EQ(store.orders().at(kSubject).count, 3);
  ASSERT_TRUE(store.Apply(Order(5, 1, 9)));
  EXPECT_EQ(store.orders().at(kSubject).count, 3);
  ASSERT_TRUE(store.Apply(Order(6, 3, 1)));
  EXPECT_EQ(store.orders().at(kSubject).count, 6);
}

// Guards against a hold that cannot be renewed when there are many.
TEST(DutyStoreTest, HoldsAreBounded) {
  DutyStore store;
  for (size_t i = 0; i < DutyStore::kMaxHolds; ++i) {
    ASSERT_TRUE(
        store.Apply(OrderHold{ModelId(std::to_string(i)), true, "ann"}));
  }
  EXPECT_FALSE(store.Apply(OrderHold{ModelId("new"), true, "ann"}));
  EXPECT_TRUE(store.Apply(OrderHold{ModelId("0"), true, "bob"}));
  EXPECT_EQ(store.holds().at(ModelId("0")), "bob");
  EXPECT_TRUE(store.Apply(OrderHold{ModelId("0"), false, "bob"}));
  EXPECT_FALSE(store.holds().contains(ModelId("0")));
}

// Guards against a replica that forgets duties at a restart.
TEST(DutyStoreTest, SnapshotKeepsEverything) {
  DutyStore store;
  ASSERT_TRUE(store.Apply(Claim("a", 3)));
  for (int64_t number = 1; number < 400; ++number) {
    ASSERT_TRUE(store.Apply(Agreement(number, 1)));
  }
  ASSERT_TRUE(store.Apply(Settlement(399)));
  ASSERT_TRUE(store.Apply(Order(3, 1, 5)));
  ASSERT_TRUE(store.Apply(OrderHold{ModelId("held"), true, "ann"}));
  const Expected<DutyStore> restored = DutyStore::Restore(store.Snapshot());
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->Snapshot(), store.Snapshot());
  EXPECT_EQ(restored->holder(), store.holder());
  EXPECT_EQ(restored->open_windows(), store.open_windows());
  EXPECT_EQ(restored->settled_windows(), store.settled_windows());
  EXPECT_EQ(restored->abandoned_windows(), store.abandoned_windows());
  EXPECT_EQ(restored->orders(), store.orders());
  EXPECT_EQ(restored->holds(), store.holds());
  EXPECT_TRUE(restored->IsAgreed(UsageWindowNumber(1)));
  const std::string bytes = store.Snapshot();
  for (size_t size = 0; size < bytes.size(); size += 97) {
    EXPECT_FALSE(DutyStore::Restore(bytes.substr(0, size)));
  }
}

// Guards against a replica that cannot start on a snapshot of the release
// before, which has no duties.
TEST(DutyStoreTest, SnapshotOfTheFormatBeforeIsRead) {
  constexpr uint32_t kFormatBefore = 3;
  constexpr uint32_t kFieldsBefore = 11;
  ControlState state;
  EXPECT_FALSE(
      state.Apply(LogIndex(1), EncodeCommand({VmId("a"), 1, Claim("a", 3)}))
          .error.has_value());
  EXPECT_EQ(state.duties().holder().token, DutyToken(1));
  const std::string snapshot = state.Snapshot();
  const msgpack::object_handle handle = UnpackBounded(snapshot);
  const auto fields = handle.get().as<std::vector<msgpack::object>>();
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldsBefore);
  packer.pack(kFormatBefore);
  for (size_t i = 1; i < kFieldsBefore; ++i) {
    packer.pack(fields[i]);
  }
  const Expected<ControlState> restored =
      ControlState::Restore({buffer.data(), buffer.size()});
  ASSERT_TRUE(restored) << restored.error().message;
  EXPECT_EQ(restored->applied_index(), LogIndex(1));
  EXPECT_EQ(restored->duties().holder(), DutyHolder());
}

}  // namespace
}  // namespace camphorsail
