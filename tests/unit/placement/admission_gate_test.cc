#include "camphorsail/placement/admission_gate.h"

#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rapidcheck.h"

// Tests of the order in which an overloaded service's requests are refused.
namespace camphorsail {
namespace {

using Verdict = AdmissionGate::Verdict;

constexpr Urgency kHigh(0);
constexpr Urgency kMiddle(4);
constexpr Urgency kLow(5);
constexpr double kSmallWorkMs = 40;
constexpr double kLargeWorkMs = 200;
constexpr absl::Duration kLimit = absl::Milliseconds(300);
constexpr absl::Duration kInTime = absl::Milliseconds(100);
constexpr absl::Duration kTooLong = absl::Milliseconds(900);

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

/// Sends one request through the gate as a gateway does.
/// @return The decision.
Verdict Send(AdmissionGate* gate,
             Urgency urgency,
             double work_ms,
             absl::Duration expected,
             MonoTime now) {
  gate->OnArrival(urgency, work_ms, now);
  const Verdict verdict = gate->Judge(urgency, expected, kLimit, now);
  if (verdict == Verdict::kAdmit) {
    gate->OnStarted(urgency, now);
  }
  return verdict;
}

/// Time between two requests of one urgency in the loads below, in seconds.
constexpr double kRequestSeconds = 0.02;

// Incident TIER. Load pattern: urgent streams alone are too many, while bulk
// streams would be answered in time because their objective is longer. The bulk
// streams go first, and only 5 s later an urgent one may be refused.
TEST(AdmissionGateTest, LessUrgentRequestsAreRefusedFirst) {
  AdmissionGate gate;
  double last_low = 0;
  double first_high_refusal = 0;
  for (double t = 0; t < 20; t += kRequestSeconds) {
    if (Send(&gate, kLow, kLargeWorkMs, kInTime, At(t)) == Verdict::kAdmit) {
      last_low = t;
    }
    if (Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(t)) != Verdict::kAdmit &&
        first_high_refusal == 0) {
      first_high_refusal = t;
    }
  }
  EXPECT_GT(last_low, 0.5);
  EXPECT_LT(last_low, 4);
  EXPECT_GE(first_high_refusal, last_low + 5 - kRequestSeconds / 2);
  EXPECT_LT(first_high_refusal, last_low + 6);
}

// A share that changes at once in whole steps would refuse far more than is
// missing, and let all callers come back together.
TEST(AdmissionGateTest, SharesFollowTheLoadGradually) {
  AdmissionGate gate;
  const auto refused_share = [&](double from, absl::Duration expected_high) {
    int refused = 0;
    int sent = 0;
    for (double t = from; t < from + 0.5; t += kRequestSeconds) {
      Send(&gate, kHigh, kSmallWorkMs, expected_high, At(t));
      ++sent;
      refused +=
          Send(&gate, kLow, kLargeWorkMs, kInTime, At(t)) == Verdict::kClosed
              ? 1
              : 0;
    }
    return static_cast<double>(refused) / sent;
  };
  EXPECT_LT(refused_share(0, kTooLong), 0.05);
  EXPECT_TRUE(gate.TakeChanges().IsEmpty());
  EXPECT_NEAR(refused_share(0.5, kTooLong), 0.2, 0.1);
  EXPECT_NEAR(refused_share(1, kTooLong), 0.4, 0.1);
  EXPECT_TRUE(gate.TakeChanges().Contains(kLow));
  // The late requests count for one more second.
  refused_share(1.5, kInTime);
  refused_share(2, kInTime);
  const double peak = refused_share(2.5, kInTime);
  EXPECT_LT(refused_share(3.5, kInTime), peak);
  for (double t = 4; t < 9; t += 0.5) {
    refused_share(t, kInTime);
  }
  EXPECT_EQ(gate.RefusedShare(kLow), 0);
}

// Closing every lower kind alike would only move the incident to the middle
// one.
TEST(AdmissionGateTest, MiddleIsRefusedOnlyWhenTheLowestIsClosed) {
  AdmissionGate gate;
  for (double t = 0; t < 10; t += kRequestSeconds) {
    Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(t));
    Send(&gate, kMiddle, kSmallWorkMs, kInTime, At(t));
    Send(&gate, kLow, kLargeWorkMs, kInTime, At(t));
    EXPECT_TRUE(gate.RefusedShare(kMiddle) == 0 || gate.RefusedShare(kLow) == 1)
        << t;
  }
  EXPECT_EQ(gate.RefusedShare(kMiddle), 1);
}

// Load pattern: servers come back after a crash that had closed every urgency.
// The least urgent requests must not be refused until all others are accepted
// again, one after the other.
TEST(AdmissionGateTest, AllUrgenciesOpenWithinSecondsAfterARecovery) {
  AdmissionGate gate;
  for (double t = 0; t < 10; t += kRequestSeconds) {
    Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(t));
    Send(&gate, kMiddle, kSmallWorkMs, kInTime, At(t));
    Send(&gate, kLow, kLargeWorkMs, kInTime, At(t));
  }
  ASSERT_EQ(gate.RefusedShare(kMiddle), 1);
  ASSERT_EQ(gate.RefusedShare(kLow), 1);
  for (double t = 10; t < 17; t += kRequestSeconds) {
    Send(&gate, kHigh, kSmallWorkMs, kInTime, At(t));
    Send(&gate, kMiddle, kSmallWorkMs, kInTime, At(t));
    Send(&gate, kLow, kLargeWorkMs, kInTime, At(t));
    EXPECT_LE(gate.RefusedShare(kMiddle), gate.RefusedShare(kLow));
  }
  EXPECT_EQ(gate.RefusedShare(kMiddle), 0);
  EXPECT_EQ(gate.RefusedShare(kLow), 0);
}

// Load pattern: long prompts of an account of high rank. Refusing many short
// requests of other accounts would not make room for one of them.
TEST(AdmissionGateTest, SmallRequestsAreNotRefusedForLargeOnes) {
  AdmissionGate gate;
  for (double t = 0; t < 10; t += kRequestSeconds) {
    Send(&gate, kHigh, kLargeWorkMs, kTooLong, At(t));
    EXPECT_EQ(Send(&gate, kLow, kSmallWorkMs, kInTime, At(t)), Verdict::kAdmit);
  }
}

// Work conserving: what fits is served, whatever waits elsewhere.
TEST(AdmissionGateTest, EveryRequestIsAdmittedWhereThereIsRoom) {
  AdmissionGate gate;
  for (double t = 0; t < 10; t += kRequestSeconds) {
    Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(t));
    Send(&gate, kLow, kLargeWorkMs, kInTime, At(t));
  }
  ASSERT_EQ(gate.RefusedShare(kLow), 1);
  EXPECT_EQ(gate.Judge(kLow, kTooLong, absl::InfiniteDuration(), At(10)),
            Verdict::kAdmit);
}

// Load pattern: one kind of request. There is nothing less urgent to refuse.
TEST(AdmissionGateTest, OnlyKindIsRefusedAtOnce) {
  AdmissionGate gate;
  EXPECT_EQ(Send(&gate, kHigh, kSmallWorkMs, kInTime, At(0)), Verdict::kAdmit);
  EXPECT_EQ(Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(0)),
            Verdict::kTooLate);
}

// The estimate of the wait for a slot is off by a factor that depends on the
// urgency: more urgent requests overtake.
TEST(AdmissionGateTest, WaitIsCorrectedByWhatOthersExperienced) {
  AdmissionGate gate;
  for (int i = 0; i < 100; ++i) {
    gate.OnQueuedAnswer(kLow, absl::Milliseconds(100), absl::Milliseconds(400));
    gate.OnQueuedAnswer(kHigh, absl::Milliseconds(100), absl::Milliseconds(30));
  }
  EXPECT_EQ(Send(&gate, kLow, kLargeWorkMs, absl::Milliseconds(100), At(0)),
            Verdict::kTooLate);
  EXPECT_EQ(Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(0)), Verdict::kAdmit);
}

// A gateway must not go by what others said before it was cut off from them.
TEST(AdmissionGateTest, StateOfTheOthersExpires) {
  AdmissionGate gate;
  ServiceAdmissionState others;
  others.late.Add(kHigh);
  others.started.Add(kLow);
  Send(&gate, kHigh, kSmallWorkMs, kInTime, At(0));
  Send(&gate, kLow, kLargeWorkMs, kInTime, At(0));
  gate.OnFleetState(others, At(0));
  Send(&gate, kLow, kLargeWorkMs, kInTime, At(0.6));
  EXPECT_GT(gate.RefusedShare(kLow), 0);
  EXPECT_EQ(Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(0.7)),
            Verdict::kAdmit);
  for (double t = 1; t < 9; t += 0.1) {
    gate.Judge(kHigh, kInTime, kLimit, At(t));
  }
  EXPECT_EQ(gate.RefusedShare(kLow), 0);
  EXPECT_EQ(Send(&gate, kHigh, kSmallWorkMs, kTooLong, At(9)),
            Verdict::kTooLate);
}

/// Gateways that tell each other their states with a delay.
class GatewayGroup {
 public:
  struct Start {
    Urgency urgency;
    MonoTime at;
  };

  GatewayGroup(int gateways, absl::Duration delay)
      : gates_(gateways), delay_(delay) {}

  AdmissionGate& gate(int i) { return gates_[i]; }
  void OnStarted(Urgency urgency, MonoTime now) {
    starts_.push_back({urgency, now});
  }
  /// Collects the states of all gateways and delivers what was collected
  /// `delay` ago.
  void Exchange(MonoTime now) {
    ServiceAdmissionState sum;
    for (const AdmissionGate& gate : gates_) {
      const ServiceAdmissionState state = gate.OwnState(now);
      sum.late |= state.late;
      sum.started |= state.started;
    }
    sent_.push_back({sum, now});
    for (const auto& [state, at] : sent_) {
      if (now - at == delay_) {
        for (AdmissionGate& gate : gates_) {
          gate.OnFleetState(state, now);
        }
      }
    }
  }
  /// @return True when a less urgent request was started in the time.
  bool HasLessUrgentStart(Urgency urgency, MonoTime from, MonoTime to) const {
    for (const Start& start : starts_) {
      if (start.urgency > urgency && start.at > from && start.at <= to) {
        return true;
      }
    }
    return false;
  }

 private:
  std::vector<AdmissionGate> gates_;
  absl::Duration delay_;
  std::vector<std::pair<ServiceAdmissionState, MonoTime>> sent_;
  std::vector<Start> starts_;
};

// Whatever the gateways see, none refuses a request as too late while a less
// urgent one, as large or larger, is started at any gateway, apart from starts
// that it cannot have heard of yet.
TEST(AdmissionGateTest, NoGatewayRefusesBeforeLessUrgentRequests) {
  constexpr absl::Duration kStep = absl::Milliseconds(100);
  constexpr absl::Duration kDelay = absl::Milliseconds(500);
  constexpr int kSteps = 200;
  EXPECT_TRUE(rc::check([&] {
    const int gateways = *rc::gen::inRange(1, 9);
    const int kinds = *rc::gen::inRange(1, 5);
    GatewayGroup group(gateways, kDelay);
    for (int step = 0; step < kSteps; ++step) {
      const MonoTime now = At(0) + step * kStep;
      group.Exchange(now);
      const int gateway = *rc::gen::inRange(0, gateways);
      const Urgency urgency(*rc::gen::inRange(0, kinds));
      const auto expected = absl::Milliseconds(*rc::gen::inRange(0, 600));
      const Verdict verdict =
          Send(&group.gate(gateway), urgency, kLargeWorkMs, expected, now);
      if (verdict == Verdict::kAdmit) {
        group.OnStarted(urgency, now);
      }
      if (verdict == Verdict::kTooLate) {
        RC_ASSERT(!group.HasLessUrgentStart(
            urgency, now - AdmissionGate::kOrderPeriod + kDelay,
            now - kDelay - kStep));
      }
    }
  }));
}

}  // namespace
}  // namespace camphorsail
