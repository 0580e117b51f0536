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
/// Part of the histories that is run again with discovered voters.
constexpr uint64_t kDiscoveredPart = 4;

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
  // Histories in which nothing happens would pass every check.
  EXPECT_GT(committed, 10 * count);
  if (count >= 100) {
    EXPECT_GT(replaced, count / 10);
    EXPECT_GT(reads, count / 10);
  }
  std::printf("histories=%lu committed=%lu replaced_replicas=%lu reads=%lu\n",
              count, committed.load(), replaced.load(), reads.load());
}

// Guards against any fault sequence that breaks a guarantee of the replicated
// log or of the lease, or after which the group does not recover. The first
// version of the log failed: it lost its log when a snapshot was created twice,
// never committed after a restart of all VMs, and stopped sending to a follower
// after a lost append.
TEST(HistoryTest, InvariantsHoldInRandomHistories) {
  const TestOptions& options = GetTestOptions();
  RunHistories(options.seed, options.histories, HistoryKind::kListed);
}

// The same for groups that find their voters: joins, promotions, and voters
// that are replaced because they were silent.
TEST(HistoryTest, InvariantsHoldWhereVotersAreDiscovered) {
  const TestOptions& options = GetTestOptions();
  RunHistories(options.seed, options.histories / kDiscoveredPart,
               HistoryKind::kDiscovered);
}

// Against votes of a pre-vote round that is over: a replica froze in the middle
// of the round, and on waking took a late vote before the tick that ends it.
TEST(HistoryTest, FrozenCandidateCountsNoOldVotes) {
  EXPECT_EQ(RunHistory(kSettingsFirst | 7804, VirtualRules()).violation, "");
}

// Guards against a failing seed that cannot be repeated.
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
