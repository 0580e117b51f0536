#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <set>

#include "camphorsail/storage/log_store.h"
#include "gtest/gtest.h"

// Replaces the system calls of the store by functions that record which files
// and folders are not synced.
namespace {

bool recording = false;
/// Descriptors of files with unsynced data.
std::set<int> unsynced_files;
/// Descriptors of folders in which a file was created or renamed since the last
/// sync.
std::set<int> unsynced_folders;
int syncs = 0;

int Sync(int fd, long call) {
  unsynced_files.erase(fd);
  unsynced_folders.erase(fd);
  ++syncs;
  return static_cast<int>(syscall(call, fd));
}

}  // namespace

extern "C" {

int openat(int folder, const char* name, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const int mode = (flags & O_CREAT) != 0 ? va_arg(arguments, int) : 0;
  va_end(arguments);
  if (recording && (flags & O_CREAT) != 0) {
    unsynced_folders.insert(folder);
  }
  return static_cast<int>(syscall(SYS_openat, folder, name, flags, mode));
}
ssize_t write(int fd, const void* data, size_t size) {
  if (recording) {
    unsynced_files.insert(fd);
  }
  return syscall(SYS_write, fd, data, size);
}
int fsync(int fd) {
  return Sync(fd, SYS_fsync);
}
int fdatasync(int fd) {
  return Sync(fd, SYS_fdatasync);
}
int renameat(int from_folder, const char* from, int folder, const char* to) {
  EXPECT_TRUE(unsynced_files.empty()) << "renamed before the data is synced";
  unsynced_folders.insert(folder);
  return static_cast<int>(syscall(SYS_renameat, from_folder, from, folder, to));
}

}  // extern "C"

namespace camphorsail {
namespace {

// Guards against a write that is reported as durable while its data or the name
// of its file is only in the page cache.
TEST(SyncTest, WriteReturnsAfterItsDataIsSynced) {
  char folder[] = "/tmp/log_store_sync_XXXXXX";
  ASSERT_NE(mkdtemp(folder), nullptr);
  auto store = LogStore::Open({folder, 64});
  ASSERT_TRUE(store.has_value());
  recording = true;
  for (uint64_t i = 1; i <= 6; ++i) {
    WriteBatch batch;
    batch.entries = {{TermNumber(1), LogIndex(i), EntryKind::kData, false,
                      std::string(40, 'x')}};
    if (i % 2 == 0) {
      batch.hard_state = HardState{TermNumber(i), ReplicaId(1)};
    }
    if (i == 4) {
      batch.snapshot = std::make_shared<const Snapshot>(
          Snapshot{{TermNumber(1), LogIndex(3)}, {}, "state"});
      batch.first_kept = LogIndex(4);
    }
    const int before = syncs;
    ASSERT_TRUE((*store)->Write(batch).has_value());
    EXPECT_GT(syncs, before);
    EXPECT_TRUE(unsynced_files.empty());
    EXPECT_TRUE(unsynced_folders.empty());
  }
  recording = false;
  store->reset();
  EXPECT_EQ(std::system((std::string("rm -r ") + folder).c_str()), 0);
}

}  // namespace
}  // namespace camphorsail
