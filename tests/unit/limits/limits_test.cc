#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/limits/account_limits.h"
#include "camphorsail/limits/limit_allocator.h"
#include "camphorsail/limits/limit_share.h"
#include "camphorsail/limits/request_limits.h"
#include "gtest/gtest.h"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

const ClientAccountId kAccount("a");
constexpr LimitAmounts kLimit{100, 1000, 7};

MonoTime At(double seconds) {
  return MonoTime::FromNanos(1'000'000'000) + absl::Seconds(seconds);
}

LimitGrant GrantOf(uint64_t grant, LimitAmounts share) {
  return {kAccount, grant, share};
}

// Guards against a part above the demand of its party while another party gets
// less than it demands, and against parts that do not add up to the amount.
TEST(DivideByDemandTest, IsMaxMinFair) {
  EXPECT_EQ(DivideByDemand(90, {10, 100, 100}),
            (std::vector<double>{10, 40, 40}));
  EXPECT_EQ(DivideByDemand(100, {10, 20}), (std::vector<double>{45, 55}));
  EXPECT_EQ(DivideByDemand(0, {5, 0}), (std::vector<double>{0, 0}));
}

// Guards against a VM that admits requests under a share whose lease has ended,
// and against an older grant that replaces a newer one when grants arrive out
// of order.
TEST(LimitShareTest, ShareEndsWithTheLease) {
  LimitShare share;
  EXPECT_EQ(share.CountAndAdmit(Tokens(1), At(0)).error().kind,
            ErrorKind::kAccountLimitExceeded);
  share.OnGrant(GrantOf(2, {10, 100, 2}), At(0), At(0.1));
  share.OnGrant(GrantOf(1, {99, 999, 99}), At(0), At(0.1));
  EXPECT_EQ(share.Share(At(1)).concurrency, 2);
  EXPECT_TRUE(share.CountAndAdmit(Tokens(1), At(1)).has_value());
  EXPECT_TRUE(share.CountAndAdmit(Tokens(1), At(4.74)).has_value());
  share.Finish(Tokens(1), Tokens(1), At(4.74));
  EXPECT_FALSE(share.CountAndAdmit(Tokens(1), At(4.75)).has_value());
  EXPECT_EQ(share.Share(At(4.75)), LimitAmounts());
}

// Guards against rates and concurrency above the share, and against a
// Retry-After after which the request is refused again.
TEST(LimitShareTest, EnforcesRatesAndConcurrency) {
  LimitShare share;
  share.OnGrant(GrantOf(1, {2, LimitAmounts::kUnlimitedRate, 3}), At(0), At(0));
  int admitted = 0;
  for (int i = 0; i < 400; ++i) {
    const MonoTime now = At(i * 0.01);
    const auto result = share.CountAndAdmit(Tokens(50), now);
    if (result) {
      ++admitted;
      share.Finish(Tokens(50), Tokens(50), now);
    } else {
      LimitShare later = share;
      EXPECT_TRUE(
          later.CountAndAdmit(Tokens(50), now + result.error().retry_after)
              .has_value());
    }
  }
  EXPECT_LE(admitted, 8);
  EXPECT_GE(admitted, 7);
  const LimitAmounts demand = share.TakeDemand(At(4));
  EXPECT_GT(demand.requests_per_s, 50);
  share.OnGrant(GrantOf(2, {1000, 1000, 3}), At(4), At(4));
  int running = 0;
  while (running < 10 && share.CountAndAdmit(Tokens(1), At(6)).has_value()) {
    ++running;
  }
  EXPECT_EQ(running, 3);
}

// Guards against a token rate above the limit when answers are longer than
// estimated.
TEST(LimitShareTest, LongerAnswersAreChargedAfterwards) {
  LimitShare share;
  share.OnGrant(GrantOf(1, {1000, 100, 100}), At(0), At(0));
  EXPECT_TRUE(share.CountAndAdmit(Tokens(10), At(1)).has_value());
  share.Finish(Tokens(10), Tokens(300), At(1));
  const auto refused = share.CountAndAdmit(Tokens(10), At(1));
  ASSERT_FALSE(refused.has_value());
  EXPECT_NEAR(absl::ToDoubleSeconds(refused.error().retry_after), 2.1, 0.01);
}

// Guards against a demand that is measured over a few milliseconds because the
// first request of another account has caused a report in between.
TEST(RequestLimitsTest, FirstReportsContainOnlyTheNewAccount) {
  const ClientAccountId busy("busy");
  const ClientAccountId quiet("quiet");
  RequestLimits limits;
  const auto arrive = [&](const ClientAccountId& account, double at) {
    ASSERT_EQ(limits.Admit(account, RequestLimits::Try::kFirst, At(at)),
              RequestLimits::AdmitResult::kWait);
  };
  arrive(busy, 1);
  std::vector<LimitDemand> demands = limits.PollDemand(At(1.01));
  ASSERT_EQ(demands.size(), 1U);
  EXPECT_DOUBLE_EQ(demands[0].demand.requests_per_s, 4);
  for (int i = 0; i < 25; ++i) {
    arrive(busy, 1.01 + 0.019 * i);
  }
  arrive(quiet, 1.48);
  demands = limits.PollDemand(At(1.49));
  ASSERT_EQ(demands.size(), 1U);
  EXPECT_EQ(demands[0].account, quiet);
  // Regular reports are 500 ms apart, and `quiet` has just been reported.
  EXPECT_TRUE(limits.PollDemand(At(1.5)).empty());
  demands = limits.PollDemand(At(1.51));
  ASSERT_EQ(demands.size(), 1U);
  EXPECT_EQ(demands[0].account, busy);
  EXPECT_NEAR(demands[0].demand.requests_per_s, 50, 0.1);
  EXPECT_EQ(limits.PollDemand(At(2.01)).size(), 2U);
}

// Guards against a limit on a resource for which none is set.
TEST(LimitAllocatorTest, UnlimitedResourcesAreGrantedWhole) {
  LimitAllocator allocator({}, TermNumber(1), At(0));
  allocator.SetLimits(
      {{kAccount,
        {LimitAmounts::kUnlimitedRate, 100, LimitAmounts::kUnlimitedCount}}});
  for (int vm = 0; vm < 3; ++vm) {
    const auto batch = allocator.OnDemand(
        {VmId(absl::StrCat(vm)), 1, {{kAccount, {1, 1, 1}, 0}}}, At(6), At(6));
    ASSERT_EQ(batch.grants.size(), 1u);
    EXPECT_EQ(batch.grants[0].share.requests_per_s,
              LimitAmounts::kUnlimitedRate);
    EXPECT_EQ(batch.grants[0].share.concurrency, LimitAmounts::kUnlimitedCount);
    EXPECT_LE(batch.grants[0].share.tokens_per_s, 100);
  }
}

// Guards against enforcing the setting 0, which means unlimited, as a limit of
// zero.
TEST(AccountLimitsTest, ZeroMeansUnlimited) {
  EffectiveAccount limited;
  limited.account = kAccount;
  limited.classes.emplace_back().max_tokens_per_s = 50;
  EffectiveAccount unlimited;
  unlimited.account = ClientAccountId("b");
  unlimited.classes.emplace_back();
  const auto limits = CollectAccountLimits({limited, unlimited, {}});
  ASSERT_EQ(limits.size(), 1u);
  EXPECT_EQ(limits.at(kAccount), (LimitAmounts{LimitAmounts::kUnlimitedRate, 50,
                                               LimitAmounts::kUnlimitedCount}));
}

/// Simulates three VMs that report to successive leaders. Messages are delayed,
/// duplicated, reordered and lost, and deposed leaders go on answering.
class LimitsSimulation {
 public:
  explicit LimitsSimulation(const LimitAllocatorSettings& settings)
      : settings_(settings) {
    Elect();
  }

  std::optional<std::string> Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Apply(step);
      if (auto violation = CheckSum()) {
        return violation;
      }
    }
    return CheckRecovery();
  }

 private:
  struct Leader {
    LimitAllocator allocator;
    MonoTime quorum_contact;
  };
  struct Vm {
    VmId id;
    LimitShare share;
    uint64_t reports = 0;
    LimitAmounts demand;
  };
  struct Message {
    size_t vm;
    size_t leader;
    MonoTime sent_at;
    LimitDemandReport report;
    LimitGrantBatch answer;
  };

  void Elect() {
    leaders_.push_back(
        {LimitAllocator(settings_, TermNumber(leaders_.size() + 1), At(now_)),
         At(now_)});
    leaders_.back().allocator.SetLimits({{kAccount, kLimit}});
  }

  void Advance(double seconds) {
    now_ += seconds;
    leaders_.back().quorum_contact = At(now_);
  }

  void Send(size_t vm, size_t leader) {
    Vm& from = vms_[vm];
    reports_.push_back({vm,
                        leader,
                        At(now_),
                        {from.id,
                         ++from.reports,
                         {{kAccount, from.demand, from.share.held_grant()}}},
                        {}});
  }

  void Answer(size_t i) {
    Message message = reports_[i];
    Leader& leader = leaders_[message.leader];
    message.answer = leader.allocator.OnDemand(message.report, At(now_),
                                               leader.quorum_contact);
    answers_.push_back(message);
  }

  void Receive(size_t i) {
    const Message& message = answers_[i];
    for (const LimitGrant& grant : message.answer.grants) {
      vms_[message.vm].share.OnGrant(grant, message.sent_at, At(now_));
    }
  }

  /// Sends a report (kinds 0 and 1), lets a leader answer a report (2 and 3),
  /// delivers an answer (4 and 5), advances the time (6), or elects a leader or
  /// changes a demand (7).
  void Apply(const Step& step) {
    switch (step.kind) {
      case 0:
      case 1:
        // One in four reports goes to a random leader, which may be deposed;
        // the others go to the current leader.
        Send(step.a % 3,
             step.b % 4 == 0 ? step.c % leaders_.size() : leaders_.size() - 1);
        break;
      case 2:
      case 3:
        if (!reports_.empty()) {
          Answer(step.a % reports_.size());
        }
        break;
      case 4:
      case 5:
        if (!answers_.empty()) {
          Receive(step.a % answers_.size());
        }
        break;
      case 6:
        Advance(step.a * 0.03);
        break;
      case 7:
        if (step.a % 3 == 0) {
          // No voter elects a leader within the election timeout of its last
          // contact with the previous one.
          now_ += 0.5;
          Elect();
        } else {
          vms_[step.a % 3].demand = {double(step.b * 2), double(step.c * 20),
                                     step.b % 10};
        }
        break;
    }
  }

  std::optional<std::string> CheckSum() const {
    LimitAmounts sum;
    for (const Vm& vm : vms_) {
      const LimitAmounts share = vm.share.Share(At(now_));
      sum.requests_per_s += share.requests_per_s;
      sum.tokens_per_s += share.tokens_per_s;
      sum.concurrency += share.concurrency;
    }
    if (sum.requests_per_s > kLimit.requests_per_s + 1e-6 ||
        sum.tokens_per_s > kLimit.tokens_per_s + 1e-6 ||
        sum.concurrency > kLimit.concurrency) {
      return absl::StrCat("the shares add up to ", sum.requests_per_s, " ",
                          sum.tokens_per_s, " ", sum.concurrency);
    }
    return std::nullopt;
  }

  /// Checks that, without further failures, the whole limit is in use again
  /// after a few leases and that the VM with the largest demand has the largest
  /// share.
  std::optional<std::string> CheckRecovery() {
    const std::array<LimitAmounts, 3> demands = {LimitAmounts{0, 0, 0},
                                                 LimitAmounts{30, 300, 3},
                                                 LimitAmounts{500, 5000, 50}};
    for (int round = 0; round < 40; ++round) {
      for (size_t vm = 0; vm < vms_.size(); ++vm) {
        vms_[vm].demand = demands[vm];
        Send(vm, leaders_.size() - 1);
        Answer(reports_.size() - 1);
        Receive(answers_.size() - 1);
      }
      if (auto violation = CheckSum()) {
        return violation;
      }
      Advance(0.5);
    }
    std::array<LimitAmounts, 3> shares;
    for (size_t vm = 0; vm < vms_.size(); ++vm) {
      shares[vm] = vms_[vm].share.Share(At(now_));
    }
    const double used = shares[0].requests_per_s + shares[1].requests_per_s +
                        shares[2].requests_per_s;
    if (used < kLimit.requests_per_s * 0.99 ||
        shares[0].concurrency + shares[1].concurrency + shares[2].concurrency !=
            kLimit.concurrency) {
      return absl::StrCat("only ", used, " of the limit is in use");
    }
    if (shares[2].requests_per_s < 60 || shares[1].requests_per_s < 30) {
      return "the shares do not follow the demand";
    }
    return std::nullopt;
  }

  const LimitAllocatorSettings settings_;
  double now_ = 0;
  std::vector<Leader> leaders_;
  std::array<Vm, 3> vms_ = {Vm{VmId("vm0"), {}, 0, {}},
                            Vm{VmId("vm1"), {}, 0, {}},
                            Vm{VmId("vm2"), {}, 0, {}}};
  std::vector<Message> reports_;
  std::vector<Message> answers_;
};

std::optional<std::string> RunLimits(const LimitAllocatorSettings& settings,
                                     bool expect_violation = false) {
  return FindViolation(
      /*count=*/5000, /*kinds=*/8,
      [&](const std::vector<Step>& steps) {
        return LimitsSimulation(settings).Run(steps);
      },
      !expect_violation);
}

// Guards against shares that add up to more than an account's limit, and
// against limits that stay unused after failures.
TEST(LimitsSimulationTest, SharesNeverExceedTheLimitAndRecover) {
  EXPECT_EQ(RunLimits({}), std::nullopt);
}

// Checks that `LimitsSimulation` detects a new leader that grants before the
// shares of its predecessor have expired.
TEST(LimitsSimulationTest, FindsANewLeaderThatDoesNotWait) {
  const auto violation =
      RunLimits({.new_leader_wait = absl::ZeroDuration()}, true);
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("add up to"), std::string::npos) << *violation;
}

// Checks that `LimitsSimulation` detects an isolated leader that goes on
// granting.
TEST(LimitsSimulationTest, FindsGrantsWithoutQuorumContact) {
  const auto violation =
      RunLimits({.quorum_contact_limit = absl::InfiniteDuration()}, true);
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("add up to"), std::string::npos) << *violation;
}

}  // namespace
}  // namespace camphorsail
