#include "camphorsail/runtime/commit_slots.h"

#include <thread>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

// Guards against departures that are refused while earlier ones are being
// committed, although there is a quorum.
TEST(CommitSlotsTest, WaitsForASlotThatIsGivenBack) {
  CommitSlots slots(1);
  EXPECT_TRUE(slots.Acquire(absl::ZeroDuration()));
  std::thread other([&] { slots.Release(); });
  EXPECT_TRUE(slots.Acquire(absl::Minutes(1)));
  other.join();
}

// Guards against workers that all wait when there is no quorum.
TEST(CommitSlotsTest, GivesUpWhenNoSlotIsGivenBack) {
  CommitSlots slots(2);
  EXPECT_TRUE(slots.Acquire(absl::ZeroDuration()));
  EXPECT_TRUE(slots.Acquire(absl::ZeroDuration()));
  EXPECT_FALSE(slots.Acquire(absl::Milliseconds(10)));
  slots.Release();
  EXPECT_TRUE(slots.Acquire(absl::ZeroDuration()));
}

}  // namespace
}  // namespace camphorsail
