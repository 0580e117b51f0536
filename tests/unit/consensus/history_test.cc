#include "tests/unit/consensus/history.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/unit/consensus/test_options.h"

namespace camphorsail {
namespace {

constexpr int kThreads = 4;
/// One in this many histories is run again with discovered voters.
constexpr uint64_t kDiscoveredDivisor = 4;

/// Runs random histories of one kind on several threads.
void RunHistories(uint64_t first_seed, uint64_t count, HistoryKind kind) {
  std::atomic<uint64_t> next = first_seed;
  std::atomic<uint64_t> committed = 0;
  std::atomic<uint64_t> replaced = 0;
  std::atomic<uint64_t> reads = 0;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      uint64_t seed;
      while ((seed = next++) < first_seed + count) {
        const HistoryResult result = RunHistory(seed, VirtualRules(), kind);
        committed += result.committed;
        replaced += result.replaced_replicas;
        reads += result.reads;
        if (!result.violation.empty()) {
          const std::lock_guard<std::mutex> lock(mutex);
          ADD_FAILURE() << "--histories 1 --seed " << seed << ": "
                        << result.violation;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // Checks that the histories do something. Without commits, replaced replicas
  // and reads every invariant would hold.
  EXPECT_GT(committed, 10 * count);
  if (count >= 100) {
    EXPECT_GT(replaced, count / 10);
    EXPECT_GT(reads, count / 10);
  }
  std::printf("histories=%lu committed=%lu replaced_replicas=%lu reads=%lu\n",
              count, committed.load(), replaced.load(), reads.load());
}

// Guards against a sequence of faults that breaks a guarantee of the replicated
// log or of the lease, or after which the group does not recover. This test
// found a log that was lost when a snapshot was created twice, a group that
// never committed again after a restart of all VMs, and a leader that stopped
// sending to a follower after a lost append.
TEST(HistoryTest, InvariantsHoldInRandomHistories) {
  const TestOptions& options = GetTestOptions();
  RunHistories(options.seed, options.histories, HistoryKind::kListedVoters);
}

// The same for groups that discover their voters, with joins, promotions and
// the replacement of unreachable voters.
TEST(HistoryTest, InvariantsHoldWhereVotersAreDiscovered) {
  const TestOptions& options = GetTestOptions();
  RunHistories(options.seed, options.histories / kDiscoveredDivisor,
               HistoryKind::kDiscoveredVoters);
}

// Guards against votes of an earlier pre-vote round that are still counted. A
// replica froze in the middle of the round and then handled a late vote before
// the tick that ends the round.
TEST(HistoryTest, FrozenCandidateCountsNoOldVotes) {
  EXPECT_EQ(RunHistory(kDrawSettingsFirst | 7804, VirtualRules()).violation,
            "");
}

// Guards against a history that depends on more than its seed, so that a
// failure could not be reproduced.
TEST(HistoryTest, SameSeedGivesSameHistory) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const HistoryResult first = RunHistory(seed, VirtualRules());
    const HistoryResult second = RunHistory(seed, VirtualRules());
    EXPECT_EQ(first.digest, second.digest);
    EXPECT_EQ(first.committed, second.committed);
  }
}

}  // namespace
}  // namespace camphorsail
