#include "camphorsail/accounting/minute_clock.h"

#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'764'800'030);

// Guards against a wrong minute before the Unix epoch and at a minute boundary.
TEST(MinuteClockTest, MinuteOfRoundsDown) {
  EXPECT_EQ(MinuteOf(absl::FromUnixSeconds(60)), MinuteIndex(1));
  EXPECT_EQ(MinuteOf(absl::FromUnixSeconds(59)), MinuteIndex(0));
  EXPECT_EQ(MinuteOf(absl::FromUnixSeconds(-1)), MinuteIndex(-1));
}

/// Reads the clock once per second while the wall clock is stepped. Returns the
/// first violated rule.
std::optional<std::string> RunClockSteps(const std::vector<Step>& steps,
                                         const MinuteClockSettings& settings) {
  MonoTime now;
  absl::Duration offset = absl::ZeroDuration();
  absl::Time real = kStart;
  MinuteClock clock(settings, now, real);
  std::set<MinuteIndex> seen_minutes = {clock.minute()};
  MinuteIndex last = clock.minute();
  for (const Step& step : steps) {
    int seconds = step.a;
    // The step is a single reading that is wrong by up to 50 minutes (kind 0),
    // a lasting clock step of that size (kind 1), or undisturbed time (kind 2).
    const absl::Duration error = absl::Minutes(step.b - 50);
    if (step.kind == 1) {
      offset += error;
    }
    for (int i = 0; i < seconds; ++i) {
      now = now + absl::Seconds(1);
      real += absl::Seconds(1);
      const bool glitch = step.kind == 0 && i == 0;
      const auto reading =
          clock.Read(now, real + offset + (glitch ? error : offset * 0));
      if (reading.minute < last) {
        return "the minute went back";
      }
      if (reading.closed.has_value() != (reading.minute > last) ||
          (reading.closed && *reading.closed != last)) {
        return "a wrong minute was closed";
      }
      last = reading.minute;
      seen_minutes.insert(last);
    }
  }
  // A minute lasts at most 60 s / 0.9. With fewer minutes, refused minutes
  // would be merged and too few reported.
  const double minutes = absl::ToDoubleMinutes(real - kStart);
  if (static_cast<double>(seen_minutes.size()) < minutes * 0.9 - 1) {
    return absl::StrCat("only ", seen_minutes.size(), " minutes in ", minutes);
  }
  return std::nullopt;
}

// Guards against minutes that decrease, and against a clock that stands still
// and thereby reports too few refused minutes, when the wall clock is stepped.
TEST(MinuteClockTest, ClockStepsNeitherReverseNorStopTheMinutes) {
  EXPECT_EQ(FindViolation(1000, 3,
                          [](const std::vector<Step>& steps) {
                            return RunClockSteps(steps, {});
                          }),
            std::nullopt);
}

// Shows that the check detects a clock that follows every step at once.
TEST(MinuteClockTest, DetectsAClockThatFollowsEveryStep) {
  MinuteClockSettings settings;
  settings.step_tolerance = absl::InfiniteDuration();
  settings.check_interval = absl::Seconds(1);
  const auto violation =
      FindViolation(1000, 3, [&](const std::vector<Step>& steps) {
        return RunClockSteps(steps, settings);
      });
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("only"), std::string::npos) << *violation;
}

// Guards against following a short wrong step of the wall clock, and against
// never following a lasting one.
TEST(MinuteClockTest, OneWrongReadingIsIgnoredAndALastingStepIsFollowed) {
  MonoTime now;
  absl::Time real = kStart;
  MinuteClock clock({}, now, real);
  const auto run = [&](int seconds, absl::Duration offset) {
    for (int i = 0; i < seconds; ++i) {
      now = now + absl::Seconds(1);
      real += absl::Seconds(1);
      clock.Read(now, real + offset);
    }
  };
  run(10, absl::ZeroDuration());
  run(10, absl::Hours(1));
  run(40, absl::ZeroDuration());
  EXPECT_EQ(clock.minute(), MinuteOf(real));
  run(60, absl::Hours(1));
  EXPECT_EQ(clock.minute(), MinuteOf(real + absl::Hours(1)));
  run(12 * 3600, absl::ZeroDuration());
  EXPECT_EQ(clock.minute(), MinuteOf(real));
}

}  // namespace
}  // namespace camphorsail
