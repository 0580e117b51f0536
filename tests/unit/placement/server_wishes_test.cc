#include "camphorsail/placement/server_wishes.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

TEST(ServerWishesTest, LeavingIsFinal) {
  ServerWishes wishes;
  EXPECT_TRUE(wishes.AcceptsRequests(At(0)));
  wishes.OnLeaving();
  wishes.OnAnswer(At(1));
  EXPECT_FALSE(wishes.AcceptsRequests(At(1000)));
  EXPECT_EQ(wishes.AcceptsFrom(At(0)), MonoTime::Infinite());
}

TEST(ServerWishesTest, RestLastsForItsTime) {
  ServerWishes wishes;
  wishes.OnDispatch(At(0));
  wishes.OnRest(absl::Seconds(2), At(0));
  // The answer to a request that was sent before, and a shorter rest, change
  // nothing.
  wishes.OnAnswer(At(0));
  wishes.OnRest(absl::Seconds(1), At(0.1));
  EXPECT_FALSE(wishes.AcceptsRequests(At(1.9)));
  EXPECT_EQ(wishes.AcceptsFrom(At(0.5)), At(2));
  EXPECT_TRUE(wishes.AcceptsRequests(At(2)));
}

// Load pattern: all requests that waited reach a server at the end of its rest.
TEST(ServerWishesTest, RequestsReturnOneByOneAfterARest) {
  ServerWishes wishes;
  wishes.OnRest(absl::Seconds(2), At(0));
  ASSERT_TRUE(wishes.AcceptsRequests(At(2)));
  wishes.OnDispatch(At(2));
  EXPECT_FALSE(wishes.AcceptsRequests(At(2.1)));
  EXPECT_EQ(wishes.AcceptsFrom(At(2.1)), At(2.2));
  EXPECT_TRUE(wishes.AcceptsRequests(At(2.2)));
  wishes.OnDispatch(At(2.2));
  wishes.OnAnswer(At(2));
  EXPECT_TRUE(wishes.AcceptsRequests(At(2.21)));
}

}  // namespace
}  // namespace camphorsail
