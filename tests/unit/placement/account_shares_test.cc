#include "camphorsail/placement/account_shares.h"

#include <string>

#include "gtest/gtest.h"

// Tests of the counting of the accounts' work and of its messages.
namespace camphorsail {
namespace {

constexpr Urgency kUrgency(3);
constexpr AccountHash kLarge(1);
constexpr AccountHash kSmall(2);

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}
UrgencyFractions Closed(double part) {
  UrgencyFractions closed{};
  closed[kUrgency.value()] = part;
  return closed;
}
/// Sends `per_second` requests of 10 ms a second.
void Send(AccountShares* shares,
          AccountHash account,
          double per_second,
          double from,
          double to) {
  for (double t = from; t < to; t += 1 / per_second) {
    shares->OnArrival(account, kUrgency, 10, At(t));
  }
}

TEST(AccountSharesTest, NothingIsDividedOrSentWithoutRefusals) {
  AccountShares shares;
  Send(&shares, kLarge, 90, 0, 5);
  Send(&shares, kSmall, 10, 0, 5);
  shares.Update(Closed(0), At(5));
  EXPECT_EQ(shares.ClosedPart(kLarge, kUrgency), 0);
  EXPECT_EQ(shares.AbovePart(kLarge, kUrgency), 0);
  EXPECT_FALSE(shares.TakeReport(false, kMaxSentAccounts, At(5)).has_value());
}

TEST(AccountSharesTest, LargeAccountIsRefusedForMoreUrgentOnes) {
  AccountShares shares;
  Send(&shares, kLarge, 90, 0, 9);
  Send(&shares, kSmall, 10, 0, 9);
  shares.Update(Closed(0.45), At(9));
  EXPECT_NEAR(shares.ClosedPart(kLarge, kUrgency), 0.5, 0.02);
  EXPECT_EQ(shares.ClosedPart(kSmall, kUrgency), 0);
  EXPECT_LT(shares.StandingOf(kLarge, kUrgency, At(9)).served_ratio, 1);
  EXPECT_GT(shares.StandingOf(kSmall, kUrgency, At(9)).served_ratio, 1);
}

// The part above the share is learned from what was refused as late, and
// forgotten when nothing is.
TEST(AccountSharesTest, LateRefusalsAreTakenFromTheLargeAccount) {
  AccountShares shares;
  Send(&shares, kLarge, 90, 0, 9);
  Send(&shares, kSmall, 10, 0, 9);
  for (double t = 0; t < 9; t += 0.04) {
    shares.OnRefusedLate(kUrgency, 10, At(t));
  }
  shares.Update(Closed(0), At(9));
  // A quarter is refused as late, and a tenth of the rest is left open.
  EXPECT_NEAR(shares.AbovePart(kLarge, kUrgency), 32.5 / 90, 0.02);
  EXPECT_EQ(shares.AbovePart(kSmall, kUrgency), 0);
  Send(&shares, kLarge, 10, 9, 30);
  shares.Update(Closed(0), At(30));
  EXPECT_EQ(shares.AbovePart(kLarge, kUrgency), 0);
}

// A gateway that sees only the small part of a large account must not take it
// for a small one, and one that is cut off must not go by old messages.
TEST(AccountSharesTest, WorkAtOtherGatewaysCountsUntilItIsOld) {
  AccountShares shares;
  Send(&shares, kLarge, 10, 0, 9);
  Send(&shares, kSmall, 10, 0, 9);
  ServiceAccountWork fleet;
  fleet.accounts = {{kLarge, {}}, {kSmall, {}}};
  fleet.accounts[0].work.Add(kUrgency, 1000);
  fleet.accounts[1].work.Add(kUrgency, 100);
  fleet.other_accounts = 2;
  fleet.other_work.Add(kUrgency, 100);
  shares.OnFleetWork(fleet, At(9));
  shares.Update(Closed(0.25), At(9));
  EXPECT_NEAR(shares.ClosedPart(kLarge, kUrgency), 0.3, 1e-6);
  EXPECT_EQ(shares.ClosedPart(kSmall, kUrgency), 0);
  EXPECT_EQ(shares.ClosedPart(AccountHash(3), kUrgency), 0);

  Send(&shares, kLarge, 10, 9, 18);
  Send(&shares, kSmall, 10, 9, 18);
  shares.Update(Closed(0.25), At(18));
  EXPECT_NEAR(shares.ClosedPart(kLarge, kUrgency),
              shares.ClosedPart(kSmall, kUrgency), 0.05);
}

// Load pattern: 1,100 accounts. The messages must stay small, and tell changes
// and one account after the other rather than the same ones again.
TEST(AccountSharesTest, MessagesAreBoundedAndCarryChanges) {
  AccountShares shares;
  constexpr uint64_t kAccounts = 1100;
  for (uint64_t account = 1; account <= kAccounts; ++account) {
    for (int i = 0; i < 40; ++i) {
      shares.OnArrival(AccountHash(account), kUrgency, 10, At(0));
      shares.OnArrival(AccountHash(account), Urgency(7), 10, At(0));
    }
  }
  std::vector<ServiceAccountWork> known;
  size_t bytes = 0;
  for (int second = 0; second < 4; ++second) {
    const auto report = shares.TakeReport(true, kMaxSentAccounts, At(second));
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->is_complete, second == 0);
    EXPECT_FALSE(shares.TakeReport(true, kMaxSentAccounts, At(second + 0.5))
                     .has_value());
    EXPECT_LE(report->accounts.size(), kMaxSentAccounts);
    UpdateAccountWork({*report}, &known);
    EXPECT_EQ(known[0].accounts.size() + known[0].other_accounts, kAccounts);
    msgpack::sbuffer packed;
    msgpack::pack(packed, *report);
    bytes = std::max(bytes, packed.size());
    for (uint64_t account = 1; account <= kAccounts; ++account) {
      for (int i = 0; i < 11; ++i) {
        shares.OnArrival(AccountHash(account), kUrgency, 10, At(second + 0.9));
        shares.OnArrival(AccountHash(account), Urgency(7), 10,
                         At(second + 0.9));
      }
    }
  }
  EXPECT_EQ(known[0].accounts.size(), kMaxKnownAccounts);
  EXPECT_LE(bytes, 640U);

  // What has grown most is told first.
  for (int i = 0; i < 1000; ++i) {
    shares.OnArrival(kLarge, kUrgency, 10, At(4));
  }
  const auto report = shares.TakeReport(true, /*max_accounts=*/1, At(4));
  ASSERT_EQ(report->accounts.size(), 1U);
  EXPECT_EQ(report->accounts[0].account, kLarge);
}

// A gateway whose messages are added up by a replica with those of others.
TEST(ServiceAccountWorkTest, SumsAndChangesAddUp) {
  ServiceAccountWork a;
  a.service = 7;
  a.is_complete = true;
  a.accounts = {{kLarge, {}}, {kSmall, {}}};
  a.accounts[0].work.Add(kUrgency, 100);
  a.accounts[1].work.Add(kUrgency, 5);
  ServiceAccountWork change;
  change.service = 7;
  change.accounts = {{kLarge, {}}};
  change.accounts[0].work.Add(kUrgency, 300);
  change.refused.Add(kUrgency, 40);
  std::vector<ServiceAccountWork> known;
  UpdateAccountWork({a}, &known);
  UpdateAccountWork({change}, &known);
  AccountWorkSum total;
  total.Add(known);
  total.Add({a});
  const std::vector<ServiceAccountWork> sum = total.List();
  ASSERT_EQ(sum.size(), 1U);
  ServiceAccountWork largest = sum[0];
  KeepLargest(1, &largest);
  ASSERT_EQ(largest.accounts.size(), 1U);
  EXPECT_EQ(largest.accounts[0].account, kLarge);
  EXPECT_EQ(TotalWork(largest.accounts[0].work), 400U);
  EXPECT_EQ(largest.other_accounts, 1U);
  EXPECT_EQ(TotalWork(largest.other_work), 10U);
  EXPECT_EQ(TotalWork(largest.refused), 40U);
}

}  // namespace
}  // namespace camphorsail
