#include "camphorsail/scheduling/fair_queue.h"

#include <memory>
#include <vector>

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

class FairQueueTest : public testing::Test {
 protected:
  RequestState* Add(int account,
                    double work,
                    double weight = 1,
                    uint8_t tier = 1) {
    auto request = std::make_unique<RequestState>();
    request->account = account;
    request->descriptor.request = RequestId(requests_.size());
    request->descriptor.tier = Tier(tier);
    request->descriptor.weight = Weight(weight);
    request->descriptor.arrival = now_;
    request->latest_start = now_ + absl::Seconds(10);
    request->work = work;
    request->band = FairQueue::BandOf(Tokens(static_cast<int64_t>(work * 40)));
    queue_.Push(request.get());
    requests_.push_back(std::move(request));
    return requests_.back().get();
  }
  RequestState* Take(uint8_t tier = 1) {
    RequestState* request = queue_.Peek(Tier(tier), now_);
    if (request != nullptr) {
      queue_.Remove(request);
      queue_.Charge(*request);
    }
    return request;
  }

  MonoTime now_ = MonoTime::FromNanos(1);
  // The queue's destructor unlinks the requests from its lists, so the queue is
  // declared last and destroyed first.
  std::vector<std::unique_ptr<RequestState>> requests_;
  FairQueue queue_;
};

// Guards against an account with many requests that takes more than its
// weighted share of the work.
TEST_F(FairQueueTest, AccountsShareByWorkAndWeight) {
  for (int i = 0; i < 40; ++i) {
    Add(/*account=*/0, /*work=*/2, /*weight=*/1);
  }
  for (int i = 0; i < 40; ++i) {
    Add(/*account=*/1, /*work=*/1, /*weight=*/3);
  }
  double work[2] = {0, 0};
  for (int i = 0; i < 28; ++i) {
    const RequestState* request = Take();
    work[request->account] += request->work;
  }
  EXPECT_NEAR(work[1] / work[0], 3, 0.5);
}

// Guards against an account that gets credit for idle time and then blocks
// other accounts.
TEST_F(FairQueueTest, IdleTimeIsNotSavedUp) {
  for (int i = 0; i < 20; ++i) {
    Add(0, 1);
    Take();
  }
  for (int i = 0; i < 10; ++i) {
    Add(0, 1);
    Add(1, 1);
  }
  int first = 0;
  for (int i = 0; i < 10; ++i) {
    first += Take()->account == 0 ? 1 : 0;
  }
  EXPECT_GE(first, 4);
}

// Guards against short requests that wait behind long ones of the same account.
TEST_F(FairQueueTest, ShortBeforeLongWithinAnAccount) {
  Add(0, 20);
  RequestState* short_request = Add(0, 0.3);
  EXPECT_EQ(Take(), short_request);
}

// Guards against long requests that are never dispatched while short ones keep
// arriving.
TEST_F(FairQueueTest, LongGoesFirstAfterHalfOfItsSlack) {
  RequestState* long_request = Add(0, 20);
  now_ = now_ + absl::Seconds(6);
  Add(0, 0.3);
  EXPECT_EQ(Take(), long_request);
}

// Guards against accepted requests that wait behind new ones after a failed
// attempt.
TEST_F(FairQueueTest, RetriedRequestsGoFirst) {
  Add(0, 0.3);
  RequestState* failed = Add(0, 20);
  queue_.Remove(failed);
  failed->accepted = true;
  queue_.Push(failed);
  EXPECT_EQ(Take(), failed);
}

// Guards against a wrong sum of waiting work, and against a sum that is not
// zero after the queue has emptied.
TEST_F(FairQueueTest, WorkIsSummedOverTiers) {
  Add(0, 3, 1, 0);
  Add(0, 4, 1, 2);
  EXPECT_DOUBLE_EQ(queue_.WorkUpTo(Tier(1)), 3);
  EXPECT_DOUBLE_EQ(queue_.WorkUpTo(Tier(2)), 7);
  Take(0);
  Take(2);
  EXPECT_DOUBLE_EQ(queue_.WorkUpTo(Tier(3)), 0);
  EXPECT_EQ(Take(2), nullptr);
}

}  // namespace
}  // namespace camphorsail
