#include "camphorsail/duties/call_pacer.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "camphorsail/base/random.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(int64_t ms) {
  return MonoTime::FromNanos(1'000'000'000) + absl::Milliseconds(ms);
}

// Guards against calls in a row above the rate.
TEST(CallPacerTest, SpacesCallsEvenly) {
  CallPacer pacer(5);
  ASSERT_TRUE(pacer.MayCall(At(0)));
  pacer.OnCall(At(0));
  pacer.OnEnd(true, At(1));
  EXPECT_FALSE(pacer.MayCall(At(199)));
  EXPECT_TRUE(pacer.MayCall(At(200)));
}

// Guards against a burst at the provider when the network delivers calls late:
// a call may reach it at any time until it ends.
TEST(CallPacerTest, NoMoreThanTheRateCanArriveWithinOneSecond) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    const int rate = 1 + static_cast<int>(random.Below(8));
    CallPacer pacer(rate);
    std::multimap<int64_t, bool> ends;
    std::vector<std::pair<int64_t, int64_t>> calls;
    for (int64_t ms = 0; ms < 60'000; ms += 10) {
      while (!ends.empty() && ends.begin()->first <= ms) {
        pacer.OnEnd(ends.begin()->second, At(ms));
        ends.erase(ends.begin());
      }
      if (pacer.MayCall(At(ms))) {
        const auto end = ms + 10 * static_cast<int64_t>(random.Below(300));
        pacer.OnCall(At(ms));
        ends.emplace(end, random.Below(2) == 0);
        calls.emplace_back(ms, end);
      }
    }
    ASSERT_GT(calls.size(), 10U);
    for (const auto& ended : calls) {
      // All calls whose time overlaps the second after `ended` can arrive in
      // it.
      const auto overlapping =
          std::count_if(calls.begin(), calls.end(), [&](const auto& call) {
            return call.first < ended.second + 1000 &&
                   call.second >= ended.second;
          });
      ASSERT_LE(overlapping, rate) << "seed " << seed;
    }
  }
}

// Guards against calls at the full rate while the provider is down, and after
// it has recovered against the long pauses of the outage.
TEST(CallPacerTest, BacksOffWhileCallsFail) {
  CallPacer pacer(10);
  int64_t ms = 0;
  std::vector<int64_t> pauses;
  for (int i = 0; i < 6; ++i) {
    pacer.OnCall(At(ms));
    pacer.OnEnd(false, At(ms));
    int64_t next = ms;
    while (!pacer.MayCall(At(next))) {
      ++next;
    }
    pauses.push_back(next - ms);
    ms = next;
  }
  EXPECT_EQ(pauses, (std::vector<int64_t>{250, 500, 1000, 2000, 2000, 2000}));
  pacer.OnCall(At(ms));
  pacer.OnEnd(true, At(ms));
  EXPECT_TRUE(pacer.MayCall(At(ms + 100)));
}

// Guards against a provider with less than one call per second that is never
// called.
TEST(CallPacerTest, AllowsLessThanOneCallPerSecond) {
  CallPacer pacer(0.05);
  ASSERT_TRUE(pacer.MayCall(At(0)));
  pacer.OnCall(At(0));
  pacer.OnEnd(true, At(5));
  EXPECT_FALSE(pacer.MayCall(At(19'999)));
  EXPECT_TRUE(pacer.MayCall(At(20'000)));
}

}  // namespace
}  // namespace camphorsail
