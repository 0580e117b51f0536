#include <set>
#include <string_view>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/hybrid_clock.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/intrusive_list.h"
#include "camphorsail/base/random.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/scheduling/scheduler_types.h"
#include "camphorsail/settings/effective_class.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

// Guards against two kinds that share a code, which would make answers
// ambiguous.
TEST(ErrorTableTest, CodesAreUniqueAndStatusesAreErrors) {
  std::set<std::string_view> codes;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const ErrorTraits& traits = GetErrorTraits(static_cast<ErrorKind>(i));
    EXPECT_FALSE(traits.code.empty());
    EXPECT_TRUE(codes.insert(traits.code).second) << traits.code;
    EXPECT_GE(traits.http_status, 400);
    EXPECT_LT(traits.http_status, 600);
  }
}

// Guards against a refusal that claims "not run" after the request may have
// been sent.
TEST(ErrorTableTest, FailuresAfterSendingNeverClaimNotRun) {
  for (ErrorKind kind : {ErrorKind::kBackendFailed, ErrorKind::kBackendTimeout,
                         ErrorKind::kOutcomeUnknown, ErrorKind::kStreamCut}) {
    EXPECT_NE(GetErrorTraits(kind).request_was_run, RequestWasRun::kNo);
  }
}

// Guards against a sequence that differs between machines or releases, which
// would change every recorded seed.
TEST(RandomTest, SequenceIsFixed) {
  Random random(0);
  EXPECT_EQ(random.Next(), 0xe220a8397b1dcdafULL);
}

// Guards against an event that sorts before its cause when the receiver's wall
// clock is behind.
TEST(HybridClockTest, ReceiverIsLaterThanSender) {
  HybridClock sender;
  HybridClock receiver;
  const HybridTimestamp sent = sender.Now(absl::FromUnixSeconds(100));
  receiver.Observe(sent);
  EXPECT_GT(receiver.Now(absl::FromUnixSeconds(50)), sent);
}

struct Item : IntrusiveListNode<> {};

// Guards against stale links after an element is removed from the middle.
TEST(IntrusiveListTest, RemovesFromTheMiddle) {
  Item a;
  Item b;
  Item c;
  IntrusiveList<Item> list;
  list.PushBack(&b);
  list.PushBack(&c);
  list.PushFront(&a);
  list.Remove(&b);
  EXPECT_EQ(list.Front(), &a);
  EXPECT_EQ(list.Next(&a), &c);
  EXPECT_EQ(list.Next(&c), nullptr);
  list.Remove(&a);
  list.Remove(&c);
  EXPECT_TRUE(list.empty());
}

class Counted : public RefCounted<Counted> {
 public:
  explicit Counted(int* deletions) : deletions_(deletions) {}
  ~Counted() { ++*deletions_; }

 private:
  int* deletions_;
};

// Guards against a double delete or a leak when copies and moves are mixed.
TEST(RefTest, DeletesOnce) {
  int deletions = 0;
  {
    Ref<Counted> first = MakeRef<Counted>(&deletions);
    Ref<Counted> second = first;
    Ref<Counted> third = std::move(first);
    second = third;
    EXPECT_EQ(deletions, 0);
  }
  EXPECT_EQ(deletions, 1);
}

}  // namespace
}  // namespace camphorsail
