#include "camphorsail/usage/true_clock.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

constexpr absl::Duration kInterval = absl::Milliseconds(200);

class TrueClockTest : public testing::Test {
 protected:
  /// Reads the clocks of `vms` VMs every `kInterval`, one of which differs from
  /// true time.
  void Run(absl::Duration time, int vms, absl::Duration step_of_first) {
    for (const MonoTime end = now_ + time; now_ < end;
         now_ = now_ + kInterval) {
      for (int i = 0; i < vms; ++i) {
        clock_.OnReading(VmId("r" + std::to_string(i)),
                         TrueNow() + (i == 0 ? step_of_first : kNone), now_);
      }
      const absl::Duration error = clock_.At(now_) - TrueNow();
      largest_error_ = std::max(largest_error_, absl::AbsDuration(error));
    }
  }
  absl::Time TrueNow() const {
    return absl::FromUnixSeconds(1'000'000'000) + (now_ - MonoTime());
  }

  static constexpr absl::Duration kNone = absl::ZeroDuration();
  MonoTime now_;
  TrueClock clock_;
  absl::Duration largest_error_;
};

TEST_F(TrueClockTest, StepOfOneOfThreeChangesNothing) {
  Run(absl::Seconds(5), 3, kNone);
  Run(absl::Seconds(20), 3, absl::Seconds(-7));
  EXPECT_EQ(largest_error_, kNone);
}

// Guards against an estimate that follows a clock that steps while another
// replica is down.
TEST_F(TrueClockTest, StepOfOneOfTwoChangesNothing) {
  Run(absl::Seconds(5), 3, kNone);
  Run(absl::Seconds(10), 2, kNone);
  Run(absl::Seconds(20), 2, absl::Seconds(-7));
  EXPECT_EQ(largest_error_, kNone);
  Run(absl::Seconds(20), 2, absl::Seconds(7));
  EXPECT_EQ(largest_error_, kNone);
}

// Guards against a process that was suspended and takes the messages that
// waited for it as the present time.
TEST_F(TrueClockTest, OldMessagesAfterAPauseChangeNothing) {
  Run(absl::Seconds(5), 3, kNone);
  const absl::Time before = TrueNow();
  now_ = now_ + absl::Seconds(6);
  for (int i = 0; i < 3; ++i) {
    clock_.OnReading(VmId("r" + std::to_string(i)), before, now_);
    EXPECT_EQ(clock_.At(now_), TrueNow());
  }
  Run(absl::Seconds(5), 3, kNone);
  EXPECT_EQ(largest_error_, kNone);
}

TEST_F(TrueClockTest, FollowsALastingChangeOfAllClocks) {
  Run(absl::Seconds(5), 1, kNone);
  Run(absl::Seconds(5), 1, absl::Seconds(2));
  EXPECT_EQ(clock_.At(now_) - TrueNow(), absl::Seconds(2));
}

// Guards against a replica that starts with a wrong clock and keeps to it.
TEST_F(TrueClockTest, MoreClocksReplaceTheFirstEstimate) {
  Run(kInterval, 1, absl::Seconds(9));
  largest_error_ = kNone;
  Run(absl::Seconds(5), 3, absl::Seconds(9));
  EXPECT_EQ(largest_error_, kNone);
}

TEST_F(TrueClockTest, GoesOnWithoutReadings) {
  EXPECT_FALSE(clock_.HasReading());
  Run(absl::Seconds(1), 1, kNone);
  now_ = now_ + absl::Hours(1);
  EXPECT_EQ(clock_.At(now_), TrueNow());
  EXPECT_TRUE(clock_.HasReading());
}

}  // namespace
}  // namespace camphorsail
