#include "camphorsail/usage/usage_collector.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

using Agreed = std::set<UsageWindowNumber>;

class UsageCollectorTest : public testing::Test {
 protected:
  static constexpr UsageWindowNumber kNumber{1000};

  static GatewayUsage Report(uint64_t process,
                             uint64_t requests,
                             UsageWindowNumber number = kNumber) {
    return {VmId("g1"), process, {{number, ClientAccountId("a"), requests}}};
  }
  absl::Time InWindow() const {
    return settings_.EndOf(kNumber) - absl::Seconds(1);
  }
  absl::Time AfterClose() const {
    return settings_.CloseTimeOf(kNumber) + absl::Seconds(1);
  }
  /// @return The requests of the window if it has closed and is not agreed.
  static std::vector<uint64_t> SumsOf(const std::vector<UsageWindow>& windows) {
    std::vector<uint64_t> sums;
    for (const UsageWindow& window : windows) {
      for (const AccountUsage& usage : window.accounts) {
        sums.push_back(usage.requests);
      }
    }
    return sums;
  }
  using Sums = std::vector<uint64_t>;

  const UsageSettings settings_{.window = absl::Seconds(5)};
  UsageCollector collector_{settings_};
};

// A restarted gateway keeps the id of its VM and counts from zero.
TEST_F(UsageCollectorTest, AddsProcessesAndMergesRepeats) {
  collector_.Merge(Report(1, 3), InWindow());
  collector_.Merge(Report(2, 4), InWindow());
  collector_.Merge(Report(1, 2), InWindow());
  collector_.Merge(Report(2, 4), InWindow());
  EXPECT_TRUE(collector_.ClosedWindows(InWindow(), {}).empty());
  EXPECT_EQ(SumsOf(collector_.ClosedWindows(AfterClose(), {})), Sums({7}));
}

// Guards against a report whose content depends on when it is asked for, and
// against late counts that are lost without a trace.
TEST_F(UsageCollectorTest, CountsAfterTheCloseAreLate) {
  collector_.Merge(Report(1, 3), InWindow());
  collector_.ClosedWindows(AfterClose(), {});
  collector_.Merge(Report(1, 5), AfterClose());
  collector_.Merge(Report(1, 5), AfterClose());
  EXPECT_EQ(SumsOf(collector_.ClosedWindows(AfterClose(), {})), Sums({3}));
  const std::vector<LateUsage::Item> late = collector_.TakeLate();
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].usage.requests, 2u);
  EXPECT_TRUE(collector_.ClosedWindows(AfterClose(), {kNumber}).empty());
}

// Guards against a sum of an earlier time as the leader, without the counts
// that came when another replica led.
TEST_F(UsageCollectorTest, NewLeaderSumsAgain) {
  collector_.Merge(Report(1, 3), InWindow());
  collector_.ClosedWindows(AfterClose(), {});
  collector_.ReopenWindows();
  collector_.Merge(Report(1, 5), AfterClose());
  EXPECT_EQ(SumsOf(collector_.ClosedWindows(AfterClose(), {})), Sums({5}));
  EXPECT_TRUE(collector_.TakeLate().empty());
}

// Guards against one gateway with a wrong clock or another window length that
// displaces the windows of all others.
TEST_F(UsageCollectorTest, RefusesImplausibleWindows) {
  collector_.Merge(Report(1, 3, UsageWindowNumber(5000)), InWindow());
  collector_.Merge(Report(1, 3, UsageWindowNumber(100)), InWindow());
  collector_.Merge(Report(1, 3), InWindow());
  EXPECT_EQ(collector_.TakeLate().size(), 2u);
  EXPECT_EQ(collector_.ClosedWindows(AfterClose(), {}).size(), 1u);
}

// Windows without an agreement are kept, because there may be no quorum.
TEST_F(UsageCollectorTest, AgreedWindowsAreRemovedWhenDue) {
  const absl::Time later = settings_.ExpiryOf(kNumber) + absl::Seconds(1);
  collector_.Merge(Report(1, 3), InWindow());
  collector_.RemoveOldWindows(later, {});
  EXPECT_EQ(collector_.ClosedWindows(later, {}).size(), 1u);
  collector_.RemoveOldWindows(later, {kNumber});
  EXPECT_TRUE(collector_.ClosedWindows(later, {}).empty());
  collector_.Merge(Report(1, 4), later);
  EXPECT_TRUE(collector_.ClosedWindows(later, {}).empty());
  EXPECT_EQ(collector_.TakeLate().size(), 1u);
}

TEST_F(UsageCollectorTest, ForwardsUntilAcknowledged) {
  const TermNumber term(4);
  collector_.Merge(Report(1, 3), InWindow());
  const UsageForward first = collector_.UnacknowledgedChanges(term);
  ASSERT_EQ(first.usages.size(), 1u);
  EXPECT_EQ(first.usages[0], Report(1, 3));
  collector_.Merge(Report(1, 5), InWindow());
  collector_.OnAcknowledged(first.sequence);
  const UsageForward second = collector_.UnacknowledgedChanges(term);
  ASSERT_EQ(second.usages.size(), 1u);
  EXPECT_EQ(second.usages[0], Report(1, 5));
  collector_.OnAcknowledged(second.sequence);
  EXPECT_TRUE(collector_.UnacknowledgedChanges(term).usages.empty());
  collector_.ForwardAll();
  EXPECT_EQ(collector_.UnacknowledgedChanges(term).usages, second.usages);
}

// Guards against messages above the transport's limit, and against memory that
// grows with what gateways send.
TEST_F(UsageCollectorTest, BoundsMessagesAndMemory) {
  constexpr size_t kGateways = 600;
  constexpr size_t kAccounts = 1100;
  for (size_t gateway = 0; gateway < kGateways; ++gateway) {
    GatewayUsage usage{VmId("g" + std::to_string(gateway)), 1, {}};
    for (size_t account = 0; account < kAccounts; ++account) {
      usage.counts.push_back(
          {kNumber, ClientAccountId("a" + std::to_string(account)), 1});
    }
    collector_.Merge(usage, InWindow());
  }
  const UsageForward forward = collector_.UnacknowledgedChanges(TermNumber(1));
  size_t forwarded = 0;
  for (const GatewayUsage& usage : forward.usages) {
    forwarded += usage.counts.size();
  }
  EXPECT_EQ(forwarded, UsageCollector::kMaxForwardedCounts);
  uint64_t late = 0;
  for (const LateUsage::Item& item : collector_.TakeLate()) {
    late += item.usage.requests;
  }
  EXPECT_EQ(late, kGateways * kAccounts - UsageCollector::kMaxCounts);
  // A reported window makes room.
  collector_.RemoveOldWindows(AfterClose(), {kNumber});
  const UsageWindowNumber next(kNumber.value() + 1);
  collector_.Merge(Report(1, 3, next), AfterClose());
  EXPECT_TRUE(collector_.TakeLate().empty());
}

}  // namespace
}  // namespace camphorsail
