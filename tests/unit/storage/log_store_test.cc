#include "camphorsail/storage/log_store.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

#include "camphorsail/base/random.h"
#include "camphorsail/storage/crc32c.h"
#include "gtest/gtest.h"
#include "rapidcheck/gtest.h"

namespace camphorsail {
namespace {

namespace fs = std::filesystem;

/// A temporary folder that is removed at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (fs::temp_directory_path() / "log_store_XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }
  const fs::path& path() const { return path_; }
  /// @return The file with the last name, in alphabetical order, of those that
  ///     start with `prefix`.
  fs::path Last(const std::string& prefix) const {
    fs::path last;
    for (const auto& entry : fs::directory_iterator(path_)) {
      if (entry.path().filename().string().starts_with(prefix) &&
          entry.path() > last) {
        last = entry.path();
      }
    }
    return last;
  }
  /// @return Total size of the files, in bytes.
  uint64_t Size() const {
    uint64_t size = 0;
    for (const auto& entry : fs::directory_iterator(path_)) {
      size += entry.file_size();
    }
    return size;
  }

 private:
  fs::path path_;
};

Expected<std::unique_ptr<LogStore>> Open(const TemporaryFolder& folder,
                                         size_t segment_bytes = 4096) {
  return LogStore::Open({folder.path().string(), segment_bytes});
}

std::vector<LogEntry> Entries(uint64_t term,
                              uint64_t first,
                              uint64_t count,
                              const std::string& data = "entry") {
  std::vector<LogEntry> entries;
  for (uint64_t i = 0; i < count; ++i) {
    entries.push_back({TermNumber(term), LogIndex(first + i), EntryKind::kData,
                       i % 2 == 0, data});
  }
  return entries;
}

WriteBatch EntryBatch(std::vector<LogEntry> entries) {
  WriteBatch batch;
  batch.entries = std::move(entries);
  return batch;
}

WriteBatch SnapshotBatch(uint64_t term, uint64_t index, uint64_t first_kept) {
  WriteBatch batch;
  batch.snapshot = std::make_shared<const Snapshot>(
      Snapshot{{TermNumber(term), LogIndex(index)}, {}, "state"});
  batch.first_kept = LogIndex(first_kept);
  return batch;
}

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}
void WriteFile(const fs::path& path, const std::string& content) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

// Guards against a wrong polynomial or bit order. 0xE3069283 is the published
// check value of CRC32C.
TEST(Crc32cTest, KnownValue) {
  EXPECT_EQ(Crc32c({"123456789"}), 0xE3069283U);
  EXPECT_EQ(Crc32c({"1234", "56789"}), 0xE3069283U);
}

// Guards against a sequence of batches and restarts after which the recovered
// state differs from the written one.
RC_GTEST_PROP(LogStoreTest, RecoversWhatWasWritten, (uint64_t seed)) {
  Random random(seed);
  const TemporaryFolder folder;
  auto store = Open(folder, 200);
  RC_ASSERT(store.has_value());
  const ReplicaId id = (*store)->TakeRecoveredState().replica;
  std::vector<LogEntry> log;
  HardState hard_state;
  LogPosition snapshot;
  uint64_t term = 1;
  for (int step = 0; step < 40; ++step) {
    const uint64_t last = std::max(snapshot.index.value(),
                                   log.empty() ? 0 : log.back().index.value());
    WriteBatch batch;
    const uint64_t kind = random.Below(10);
    if (kind < 5) {
      // Appends entries, or replaces entries after the snapshot.
      uint64_t first = last + 1;
      if (random.Below(4) == 0 && last > snapshot.index.value()) {
        first = snapshot.index.value() + 1 +
                random.Below(last - snapshot.index.value());
        ++term;
      }
      batch = EntryBatch(Entries(term, first, 1 + random.Below(4)));
      std::erase_if(
          log, [&](const LogEntry& e) { return e.index >= LogIndex(first); });
      log.insert(log.end(), batch.entries.begin(), batch.entries.end());
    } else if (kind < 6) {
      hard_state = {TermNumber(++term), ReplicaId(random.Next())};
      batch.hard_state = hard_state;
    } else if (kind < 7 && last > snapshot.index.value() && !log.empty()) {
      // A snapshot of the replica's own log.
      const auto at = std::find_if(log.begin(), log.end(), [&](const auto& e) {
        return e.index > snapshot.index;
      });
      snapshot = (at + static_cast<ptrdiff_t>(
                           random.Below(static_cast<uint64_t>(log.end() - at))))
                     ->position();
      batch = SnapshotBatch(snapshot.term.value(), snapshot.index.value(),
                            snapshot.index.value() + 1);
    } else if (kind < 8) {
      // A snapshot received from the leader, which replaces the log.
      snapshot = {TermNumber(++term), LogIndex(last + 1 + random.Below(5))};
      batch = SnapshotBatch(term, snapshot.index.value(),
                            snapshot.index.value() + 1);
      log.clear();
    } else {
      store->reset();
      store = Open(folder, 200);
      RC_ASSERT(store.has_value());
      const DurableState state = (*store)->TakeRecoveredState();
      RC_ASSERT(state.replica == id && !state.is_new);
      RC_ASSERT(state.hard_state == hard_state);
      RC_ASSERT((state.snapshot == nullptr ? LogPosition()
                                           : state.snapshot->last) == snapshot);
      std::vector<LogEntry> expected = log;
      std::vector<LogEntry> recovered = state.entries;
      // Entries up to the snapshot may still be stored.
      const auto old = [&](const LogEntry& e) {
        return e.index <= snapshot.index;
      };
      std::erase_if(expected, old);
      std::erase_if(recovered, old);
      RC_ASSERT(recovered == expected);
      continue;
    }
    RC_ASSERT((*store)->Write(batch).has_value());
  }
}

// Guards against an incomplete last record that is recovered as valid, or that
// prevents the start or later writes.
TEST(LogStoreTest, IncompleteLastRecordIsRemoved) {
  const TemporaryFolder folder;
  {
    auto store = Open(folder);
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 1, 3))).has_value());
  }
  const fs::path log = folder.Last("log-");
  const std::string before = ReadFile(log);
  {
    auto store = Open(folder);
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 4, 3))).has_value());
  }
  const std::string full = ReadFile(log);
  for (size_t size = before.size(); size < full.size(); ++size) {
    for (const bool zeros : {false, true}) {
      // A crash may leave the file too short, or at its full length with
      // unwritten blocks.
      std::string incomplete = full.substr(0, size);
      incomplete.resize(zeros ? full.size() : size, '\0');
      if (incomplete == full) {
        continue;
      }
      WriteFile(log, incomplete);
      auto store = Open(folder);
      ASSERT_TRUE(store.has_value()) << store.error().message;
      EXPECT_EQ((*store)->TakeRecoveredState().entries, Entries(1, 1, 3));
      ASSERT_TRUE((*store)->Write(EntryBatch(Entries(2, 4, 1))).has_value());
      store->reset();
      EXPECT_EQ((*Open(folder))->TakeRecoveredState().entries.size(), 4U);
    }
  }
}

// Guards against a damaged record before the end of the log that is recovered
// as valid, or that is dropped with all acknowledged entries after it.
TEST(LogStoreTest, DamageBeforeTheEndIsReported) {
  const TemporaryFolder folder;
  size_t first_records = 0;
  {
    auto store = Open(folder);
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 1, 2))).has_value());
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 3, 2))).has_value());
    first_records = ReadFile(folder.Last("log-")).size();
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 5, 2))).has_value());
  }
  const fs::path log = folder.Last("log-");
  const std::string content = ReadFile(log);
  for (size_t i = 0; i < first_records; ++i) {
    std::string damaged = content;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
    WriteFile(log, damaged);
    const auto store = Open(folder);
    ASSERT_FALSE(store.has_value()) << "byte " << i;
    EXPECT_EQ(store.error().kind, ErrorKind::kDataCorrupt);
  }
  EXPECT_EQ(ReadFile(log).size(), content.size());
}

// Guards against a damaged replica id, vote or snapshot that is recovered as
// valid or treated as a first start.
TEST(LogStoreTest, DamagedReplicaFileOrSnapshotIsReported) {
  const TemporaryFolder folder;
  {
    auto store = Open(folder);
    ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 1, 9))).has_value());
    ASSERT_TRUE((*store)->Write(SnapshotBatch(1, 5, 6)).has_value());
  }
  for (const char* name : {"replica", "snapshot-"}) {
    const fs::path path = folder.Last(name);
    const std::string content = ReadFile(path);
    for (size_t i = 0; i < content.size(); ++i) {
      std::string damaged = content;
      damaged[i] = static_cast<char>(damaged[i] ^ 1);
      WriteFile(path, damaged);
      const auto store = Open(folder);
      ASSERT_FALSE(store.has_value()) << name << " byte " << i;
      EXPECT_EQ(store.error().kind, ErrorKind::kDataCorrupt);
    }
    WriteFile(path, content);
  }
  fs::remove(folder.path() / "replica");
  EXPECT_EQ(Open(folder).error().kind, ErrorKind::kDataCorrupt);
}

// Guards against a missing segment that is not detected.
TEST(LogStoreTest, MissingSegmentIsReported) {
  const TemporaryFolder folder;
  {
    auto store = Open(folder, 64);
    for (uint64_t i = 1; i <= 5; ++i) {
      ASSERT_TRUE(
          (*store)
              ->Write(EntryBatch(Entries(1, i, 1, std::string(80, 'x'))))
              .has_value());
    }
  }
  fs::remove(folder.path() / "log-00000000000000000003");
  EXPECT_EQ(Open(folder, 64).error().kind, ErrorKind::kDataCorrupt);
}

// Guards against a folder that grows with the number of changes, and against
// temporary files that stay after a crash before their rename.
TEST(LogStoreTest, CompactionBoundsTheFolder) {
  const TemporaryFolder folder;
  WriteFile(folder.path() / "snapshot-00000000000000000009.tmp", "partial");
  auto store = Open(folder, 10'000);
  ASSERT_TRUE(store.has_value());
  uint64_t largest = 0;
  for (uint64_t i = 1; i <= 3000; ++i) {
    ASSERT_TRUE((*store)
                    ->Write(EntryBatch(Entries(1, i, 1, std::string(100, 'x'))))
                    .has_value());
    if (i % 100 == 0) {
      ASSERT_TRUE((*store)->Write(SnapshotBatch(1, i, i - 49)).has_value());
      largest = std::max(largest, folder.Size());
    }
  }
  // 50 entries of 140 bytes that are kept, the two segments that contain the
  // first and the last of them, and the snapshot.
  EXPECT_LT(largest, 50 * 140 + 3 * 10'000 + 1'000U);
  EXPECT_FALSE(fs::exists(folder.path() / "snapshot-00000000000000000009.tmp"));
  store->reset();
  EXPECT_EQ((*Open(folder))->TakeRecoveredState().entries.back().index,
            LogIndex(3000));
}

// Guards against a repeated or older snapshot that discards the log.
TEST(LogStoreTest, OlderSnapshotChangesNothing) {
  const TemporaryFolder folder;
  auto store = Open(folder);
  ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 1, 9))).has_value());
  ASSERT_TRUE((*store)->Write(SnapshotBatch(1, 8, 9)).has_value());
  ASSERT_TRUE((*store)->Write(SnapshotBatch(1, 8, 9)).has_value());
  ASSERT_TRUE((*store)->Write(SnapshotBatch(1, 4, 5)).has_value());
  store->reset();
  const DurableState state = (*Open(folder))->TakeRecoveredState();
  EXPECT_EQ(state.snapshot->last.index, LogIndex(8));
  EXPECT_EQ(state.entries.back().index, LogIndex(9));
}

// Guards against a write that fails on a full disk and leaves an incomplete
// record. Without the truncation before the next attempt, the record would be
// written again after its incomplete copy, and the next start would report the
// log as corrupt.
TEST(LogStoreTest, WriteIsRepeatedAfterTheDiskWasFull) {
  const TemporaryFolder folder;
  auto store = Open(folder, 1 << 20);
  ASSERT_TRUE(store);
  const std::string data(1000, 'x');
  ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 1, 3, data))));
  const WriteBatch batch = EntryBatch(Entries(1, 4, 3, data));

  std::signal(SIGXFSZ, SIG_IGN);
  rlimit before;
  ASSERT_EQ(getrlimit(RLIMIT_FSIZE, &before), 0);
  rlimit full = before;
  full.rlim_cur = fs::file_size(folder.Last("log-")) + 500;
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &full), 0);
  const Expected<void> first = (*store)->Write(batch);
  const Expected<void> second = (*store)->Write(batch);
  ASSERT_EQ(setrlimit(RLIMIT_FSIZE, &before), 0);
  ASSERT_FALSE(first);
  EXPECT_EQ(first.error().kind, ErrorKind::kStorageFailed);
  ASSERT_FALSE(second);

  ASSERT_TRUE((*store)->Write(batch));
  ASSERT_TRUE((*store)->Write(EntryBatch(Entries(1, 7, 1, data))));
  store->reset();
  auto reopened = Open(folder, 1 << 20);
  ASSERT_TRUE(reopened) << reopened.error().message;
  EXPECT_EQ((*reopened)->TakeRecoveredState().entries.size(), 7U);
}

// Guards against two processes that write to the same folder. The lock also
// holds within one process, which is what is tested.
TEST(LogStoreTest, FolderIsLocked) {
  const TemporaryFolder folder;
  const auto store = Open(folder);
  ASSERT_TRUE(store.has_value());
  EXPECT_EQ(Open(folder).error().kind, ErrorKind::kStorageFailed);
}

}  // namespace
}  // namespace camphorsail
