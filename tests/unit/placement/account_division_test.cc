#include "camphorsail/placement/account_division.h"

#include <numeric>

#include "gtest/gtest.h"
#include "rapidcheck.h"

// Tests of whose requests an overloaded service refuses.
namespace camphorsail {
namespace {

constexpr int kUrgent = 1;
constexpr int kLow = 6;

AccountDemand Asks(int urgency, double work, double weight = 1) {
  AccountDemand demand{.weight = weight};
  demand.work[urgency] = work;
  return demand;
}
UrgencyFractions Refuse(int urgency, double part) {
  UrgencyFractions refused{};
  refused[urgency] = part;
  return refused;
}
double TotalOf(const AccountDemand& demand) {
  return std::accumulate(demand.work.begin(), demand.work.end(), 0.0);
}

// An account that sends ten times its usual must not cost the others anything
// while cutting it down is enough.
TEST(AccountDivisionTest, AccountAboveItsShareIsRefusedFirst) {
  const AccountDivision division = DivideByAccount(
      {Asks(kLow, 100), Asks(kLow, 100), Asks(kLow, 1000)}, Refuse(kLow, 0.5));
  EXPECT_EQ(division.refused[0][kLow], 0);
  EXPECT_EQ(division.refused[1][kLow], 0);
  EXPECT_NEAR(division.refused[2][kLow], 0.6, 1e-6);
  EXPECT_NEAR(division.share[kLow], 400, 1e-3);
}

TEST(AccountDivisionTest, SharesFollowTheWeights) {
  const AccountDivision division = DivideByAccount(
      {Asks(kLow, 1000, 3), Asks(kLow, 1000, 1)}, Refuse(kLow, 0.5));
  EXPECT_NEAR(division.refused[0][kLow], 0.25, 1e-6);
  EXPECT_NEAR(division.refused[1][kLow], 0.75, 1e-6);
}

// An account that has asked for too much with its urgent requests loses of its
// less urgent ones first, because only these are refused.
TEST(AccountDivisionTest, WorkOfAllUrgenciesCounts) {
  AccountDemand both = Asks(kLow, 100);
  both.work[kUrgent] = 500;
  const AccountDivision division =
      DivideByAccount({both, Asks(kLow, 100)}, Refuse(kLow, 0.25));
  EXPECT_EQ(division.refused[0][kUrgent], 0);
  EXPECT_NEAR(division.refused[0][kLow], 0.5, 1e-6);
  EXPECT_EQ(division.refused[1][kLow], 0);
}

// A group of equal accounts has to count as that many accounts.
TEST(AccountDivisionTest, GroupIsDividedLikeItsAccounts) {
  AccountDemand group = Asks(kLow, 100);
  group.accounts = 8;
  const AccountDivision division =
      DivideByAccount({group, Asks(kLow, 1200)}, Refuse(kLow, 0.25));
  EXPECT_EQ(division.refused[0][kLow], 0);
  EXPECT_NEAR(division.refused[1][kLow], 500.0 / 1200, 1e-6);
}

// The rules that hold for any load: the refused part is what was asked for, no
// account is served less than a quarter as often as all, and an account loses
// work only when no account with more work for its weight keeps more than the
// smallest part.
TEST(AccountDivisionTest, RulesHoldForAnyLoad) {
  constexpr double kTolerance = 1e-6;
  EXPECT_TRUE(rc::check([&] {
    std::vector<AccountDemand> demands(*rc::gen::inRange(1, 40));
    for (AccountDemand& demand : demands) {
      demand.weight = *rc::gen::inRange(1, 4);
      demand.work[kLow] = *rc::gen::inRange(0, 1000);
      demand.work[kUrgent] = *rc::gen::inRange(0, 300);
    }
    UrgencyFractions wanted{};
    wanted[kLow] = *rc::gen::inRange(0, 101) / 100.0;
    wanted[kUrgent] = wanted[kLow] < 1 ? 0 : *rc::gen::inRange(0, 100) / 100.0;
    const AccountDivision division = DivideByAccount(demands, wanted);
    for (const int urgency : {kUrgent, kLow}) {
      double work = 0;
      double refused = 0;
      for (size_t i = 0; i < demands.size(); ++i) {
        const double part = division.refused[i][urgency];
        work += demands[i].work[urgency];
        refused += part * demands[i].work[urgency];
        RC_ASSERT(1 - part >=
                  kLeastServedRatio * (1 - wanted[urgency]) - kTolerance);
      }
      RC_ASSERT(std::abs(refused - wanted[urgency] * work) <=
                kTolerance * (1 + work));
    }
    // Whoever loses some of its least urgent work was above the level to which
    // all others were cut down.
    double level = 0;
    for (size_t i = 0; i < demands.size(); ++i) {
      const double part = division.refused[i][kLow];
      const double least = kLeastServedRatio * (1 - wanted[kLow]);
      if (demands[i].work[kLow] > 0 && 1 - part > least + kTolerance) {
        level = std::max(level,
                         (TotalOf(demands[i]) - part * demands[i].work[kLow]) /
                             demands[i].weight);
      }
    }
    for (size_t i = 0; i < demands.size(); ++i) {
      if (division.refused[i][kLow] > kTolerance) {
        RC_ASSERT(TotalOf(demands[i]) / demands[i].weight >=
                  level - kTolerance * (1 + level));
      }
    }
  }));
}

}  // namespace
}  // namespace camphorsail
