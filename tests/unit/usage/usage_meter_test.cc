#include "camphorsail/usage/usage_meter.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(5);

class UsageMeterTest : public testing::Test {
 protected:
  void Count(const std::string& account, int window) {
    meter_.OnRequestBegun(ClientAccountId(account),
                          settings_.EndOf(UsageWindowNumber(window - 1)));
  }
  static UsageCount Of(const std::string& account,
                       int window,
                       uint64_t requests) {
    return {UsageWindowNumber(window), ClientAccountId(account), requests};
  }
  using Counts = std::vector<UsageCount>;

  const UsageSettings settings_{.window = kWindow};
  UsageMeter meter_{settings_};
};

TEST_F(UsageMeterTest, ReportsCountsUntilTheyAreAnswered) {
  Count("a", 100);
  EXPECT_EQ(meter_.TakeReport(1), Counts({Of("a", 100, 1)}));
  Count("a", 100);
  Count("b", 100);
  const Counts all = {Of("a", 100, 2), Of("b", 100, 1)};
  EXPECT_EQ(meter_.TakeReport(2), all);
  meter_.OnAnswered(1);
  EXPECT_EQ(meter_.TakeReport(3), all);
  EXPECT_FALSE(meter_.IsReported());
  meter_.OnAnswered(2);
  EXPECT_EQ(meter_.TakeReport(4), Counts());
  EXPECT_TRUE(meter_.IsReported());
}

// Guards against counts that are sent with every poll for as long as answers
// take longer than the interval of polls.
TEST_F(UsageMeterTest, AnswersThatAreAlwaysLateAcknowledge) {
  Count("a", 100);
  for (uint64_t token = 1; token <= 3; ++token) {
    EXPECT_EQ(meter_.TakeReport(token).size(), 1u);
  }
  meter_.OnAnswered(1);
  EXPECT_EQ(meter_.TakeReport(4), Counts());
}

TEST_F(UsageMeterTest, AnotherReplicaGetsWhatIsNotDue) {
  Count("a", 100);
  Count("a", 101);
  meter_.TakeReport(1);
  meter_.OnAnswered(1);
  Count("b", 100);
  meter_.TakeReport(2);
  meter_.ReportAll(settings_.ExpiryOf(UsageWindowNumber(100)) +
                   absl::Seconds(1));
  // An answer of the earlier replica.
  meter_.OnAnswered(2);
  EXPECT_EQ(meter_.TakeReport(3), Counts({Of("b", 100, 1), Of("a", 101, 1)}));
}

// Guards against a poll that is too large for one message, without which the
// gateway loses its lease.
TEST_F(UsageMeterTest, LargeReportsAreSplit) {
  constexpr size_t kAccounts = UsageMeter::kMaxReportedCounts + 10;
  for (size_t i = 0; i < kAccounts; ++i) {
    Count("a" + std::to_string(i), 101);
  }
  EXPECT_EQ(meter_.TakeReport(1).size(), UsageMeter::kMaxReportedCounts);
  // Poll 1 is lost, and older counts displace some of its counts in poll 2.
  for (int i = 0; i < 20; ++i) {
    Count("b" + std::to_string(i), 100);
  }
  EXPECT_EQ(meter_.TakeReport(2).size(), UsageMeter::kMaxReportedCounts);
  meter_.OnAnswered(2);
  EXPECT_EQ(meter_.TakeReport(3).size(), 30u);
}

// Guards against windows that are dropped before a report can contain them,
// and against memory that grows for as long as no replica is in reach.
TEST_F(UsageMeterTest, KeepsUnreportedWindowsForABoundedTime) {
  for (int window = 1000; window < 1300; ++window) {
    Count("a", window);
  }
  EXPECT_EQ(meter_.TakeReport(1).size(), UsageSettings::kMaxOldWindows + 1);
  const std::vector<LateUsage::Item> dropped = meter_.TakeDropped();
  EXPECT_EQ(dropped.size(), 300u - UsageSettings::kMaxOldWindows - 1);
  meter_.OnAnswered(1);
  Count("a", 1300);
  meter_.ReportAll(settings_.EndOf(UsageWindowNumber(1299)));
  EXPECT_EQ(meter_.TakeReport(2).size(), 4u);
  EXPECT_TRUE(meter_.TakeDropped().empty());
}

}  // namespace
}  // namespace camphorsail
