#include <ctime>
#include <list>
#include <string>

#include "absl/time/time.h"
#include "camphorsail/gateway/answer_budget_settings.h"
#include "camphorsail/gateway/byte_account.h"
#include "camphorsail/gateway/event_stream.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/gateway/refusal_outbox.h"
#include "camphorsail/gateway/table_lease.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

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
TEST(ByteAccountTest, BoundsAllHoldersTogether) {
  const AnswerBudgetSettings settings = AnswerBudgetSettings::For(400 << 20);
  ByteAccount account(settings.max_total_bytes);
  std::list<ByteHolder> holders;
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    holders.emplace_back(&account, [] {});
    refused += holders.back().Charge(1 << 20, At(0)) ? 0 : 1;
  }
  EXPECT_EQ(refused, 900);
  EXPECT_LE(account.total(), settings.max_total_bytes);
  holders.clear();
  EXPECT_EQ(account.total(), 0U);
}

// Guards against a small holder that pays for a large one.
TEST(ByteAccountTest, LargestHolderIsGivenUp) {
  ByteAccount account(1000);
  int large_ends = 0;
  int small_ends = 0;
  ByteHolder large(&account, [&] { ++large_ends; });
  ByteHolder small(&account, [&] { ++small_ends; });
  ByteHolder next(&account, [] {});
  ASSERT_TRUE(large.Charge(800, At(0)));
  ASSERT_TRUE(small.Charge(100, At(0)));
  EXPECT_TRUE(next.Charge(200, At(0)));
  EXPECT_EQ(large_ends, 1);
  EXPECT_EQ(small_ends, 0);
  EXPECT_EQ(account.total(), 300U);
  EXPECT_FALSE(large.Charge(1, At(0)));
  large.Release();
  EXPECT_TRUE(large.Charge(1, At(0)));
  EXPECT_FALSE(large.Charge(900, At(0)));
  EXPECT_EQ(large.bytes(), 1U);
}

TEST(ByteAccountTest, StalledHolderIsGivenUpBeforeALargerOne) {
  ByteAccount account(1000);
  int stalled_ends = 0;
  int busy_ends = 0;
  ByteHolder stalled(&account, [&] { ++stalled_ends; });
  ByteHolder busy(&account, [&] { ++busy_ends; });
  ByteHolder next(&account, [] {});
  ASSERT_TRUE(stalled.Charge(400, At(0)));
  ASSERT_TRUE(busy.Charge(500, At(0)));
  busy.OnProgress(At(2));
  EXPECT_TRUE(next.Charge(300, At(2)));
  EXPECT_EQ(stalled_ends, 1);
  EXPECT_EQ(busy_ends, 0);
}

TEST(ByteAccountTest, PinnedHolderIsKept) {
  ByteAccount account(1000);
  int ends = 0;
  ByteHolder pinned(&account, [&] { ++ends; });
  ByteHolder next(&account, [] {});
  ASSERT_TRUE(pinned.Charge(900, At(0)));
  pinned.Pin();
  EXPECT_FALSE(next.Charge(200, At(5)));
  EXPECT_EQ(ends, 0);
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

/// @return Processor time of this thread.
absl::Duration ThreadTime() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

/// @return Processor time for an event that never ends, of short lines.
absl::Duration TimeOfEndlessEvent(size_t bytes) {
  constexpr size_t kPieceBytes = 1024;
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += "~\n";
  }
  EventStream events;
  const absl::Duration start = ThreadTime();
  for (size_t sent = 0; sent < bytes; sent += piece.size()) {
    EXPECT_TRUE(events.Take(piece).empty());
  }
  return ThreadTime() - start;
}

// Guards against a server whose lines without an empty one hold up all other
// requests of the gateway, because each piece makes it read all lines again.
TEST(EventStreamTest, WorkGrowsWithTheBytesAndNotWithTheirSquare) {
  constexpr size_t kBytes = 128 << 10;
  constexpr int kFactor = 32;
  TimeOfEndlessEvent(kBytes);
  const absl::Duration small = TimeOfEndlessEvent(kBytes);
  EXPECT_LT(TimeOfEndlessEvent(kBytes * kFactor), small * kFactor * 4);
}

TEST(EventStreamTest, EventsDoNotDependOnThePiecesOfTheBody) {
  rc::check([] {
    const std::string body = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("\n\n\r\n\n:id1 d")));
    EventStream whole;
    const std::string events = whole.Take(body);
    EventStream pieces;
    std::string taken;
    for (size_t at = 0; at < body.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, 8);
      taken += pieces.Take(std::string_view(body).substr(at, size));
      at += size;
    }
    RC_ASSERT(taken == events);
    RC_ASSERT(taken + pieces.rest() == body);
    RC_ASSERT(pieces.count() == whole.count());
    RC_ASSERT(pieces.last_id() == whole.last_id());
  });
}

/// @return Processor time to sort out the headers of a message with `count`
/// short headers.
absl::Duration TimeOfHeaders(int count) {
  HttpHeaders headers;
  headers.Add("Connection", "close, X-Listed");
  for (int i = 0; i < count; ++i) {
    headers.Add("X-" + std::to_string(i), "");
  }
  const absl::Duration start = ThreadTime();
  const HopByHopHeaders hop_by_hop(headers);
  for (const HttpHeaders::Item& item : headers.items()) {
    EXPECT_EQ(hop_by_hop.Contains(item.first), item.first == "Connection");
  }
  return ThreadTime() - start;
}

// Guards against a caller or a server that holds up the gateway by a head of
// thousands of short headers.
TEST(HopByHopHeadersTest, WorkGrowsWithTheHeadersAndNotWithTheirSquare) {
  constexpr int kCount = 1000;
  constexpr int kFactor = 32;
  TimeOfHeaders(kCount);
  const absl::Duration small = TimeOfHeaders(kCount);
  EXPECT_LT(TimeOfHeaders(kCount * kFactor), small * kFactor * 4);
}

TEST(HopByHopHeadersTest, ContainsTheListedOnesInAnyCase) {
  HttpHeaders headers;
  headers.Add("connection", "X-One , x-TWO");
  headers.Add("Connection", "X-Three");
  const HopByHopHeaders hop_by_hop(headers);
  for (const char* name : {"x-one", "X-Two", "x-three", "Transfer-Encoding",
                           "KEEP-ALIVE", "upgrade"}) {
    EXPECT_TRUE(hop_by_hop.Contains(name)) << name;
  }
  EXPECT_FALSE(hop_by_hop.Contains("X-Four"));
}

}  // namespace
}  // namespace camphorsail
