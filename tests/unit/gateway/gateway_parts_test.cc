#include "camphorsail/gateway/answer_budget.h"
#include "camphorsail/gateway/event_stream.h"
#include "camphorsail/gateway/refusal_outbox.h"
#include "camphorsail/gateway/table_lease.h"
#include "gtest/gtest.h"

// Tests of the parts of the gateway that need no sockets.
namespace camphorsail {
namespace {

MonoTime At(double seconds) {
  return MonoTime() + absl::Seconds(1000 + seconds);
}

TEST(TableLeaseTest, CountsFromTheTimeOfThePoll) {
  TableLease lease(absl::Seconds(4), 100);
  EXPECT_FALSE(lease.IsValid(At(0)));
  const uint64_t token = lease.OnPoll(At(0));
  lease.OnConfirmed(token);
  EXPECT_TRUE(lease.IsValid(At(3.9)));
  EXPECT_FALSE(lease.IsValid(At(4)));
}

// Guards against extending the lease by a confirmation that arrives late
// because the VM was suspended, or that answers a poll of another process.
TEST(TableLeaseTest, LateOrUnknownConfirmationsDoNotExtendTheLease) {
  TableLease lease(absl::Seconds(4), 100);
  const uint64_t old = lease.OnPoll(At(0));
  lease.OnPoll(At(10));
  lease.OnConfirmed(old);
  lease.OnConfirmed(7);
  EXPECT_FALSE(lease.IsValid(At(10)));
}

// Guards against the loss of a refusal when the poll that reports it is lost.
TEST(RefusalOutboxTest, ReportsUntilAPollIsAnswered) {
  RefusalOutbox outbox;
  outbox.Add(ClientAccountId("a"), ClassId("c"), ErrorKind::kOverloaded);
  outbox.Add(ClientAccountId("a"), ClassId("c"), ErrorKind::kBackendFailed);
  ASSERT_EQ(outbox.Take(5).size(), 1U);
  outbox.OnAnswered(4);
  outbox.Add(ClientAccountId("b"), ClassId("c"), ErrorKind::kOverloaded);
  EXPECT_EQ(outbox.Take(6).size(), 2U);
  outbox.OnAnswered(5);
  const std::vector<RefusalReport> left = outbox.Take(7);
  ASSERT_EQ(left.size(), 1U);
  EXPECT_EQ(left[0].account, ClientAccountId("b"));
  outbox.OnAnswered(7);
  EXPECT_TRUE(outbox.Take(8).empty());
}

// Guards against many servers that send without end at the same time.
TEST(AnswerBudgetTest, BoundsAllIncompleteAnswersTogether) {
  const AnswerBudgetSettings settings = AnswerBudgetSettings::For(400 << 20);
  AnswerBudget budget(settings);
  std::vector<size_t> held(1000, 0);
  size_t refused = 0;
  for (size_t& answer : held) {
    if (!budget.Update(1 << 20, &answer)) {
      ++refused;
      budget.Update(0, &answer);
    }
  }
  EXPECT_EQ(refused, 950U);
  EXPECT_LE(budget.total(), settings.max_total_bytes);
  for (size_t& answer : held) {
    budget.Update(0, &answer);
  }
  EXPECT_EQ(budget.total(), 0U);
}

TEST(EventStreamTest, ForwardsCompleteEvents) {
  EventStream stream;
  EXPECT_EQ(stream.Take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(stream.last_id(), 1U);
  EXPECT_EQ(stream.rest(), "id: 2\nda");
  EXPECT_EQ(stream.Take("ta: b\r\n\r"), "");
  EXPECT_EQ(stream.Take("\nid: 3\n"), "id: 2\ndata: b\r\n\r\n");
  EXPECT_EQ(stream.last_id(), 2U);
  EXPECT_EQ(stream.count(), 2U);
}

}  // namespace
}  // namespace camphorsail
