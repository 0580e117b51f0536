#ifndef CAMPHORSAIL_RUNTIME_STORAGE_THREAD_H_
#define CAMPHORSAIL_RUNTIME_STORAGE_THREAD_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/error.h"
#include "camphorsail/consensus/write_batch.h"
#include "camphorsail/net/waker.h"
#include "camphorsail/storage/log_store.h"

namespace camphorsail {

/// Executes the writes of the control path in order on a dedicated thread, so
/// that a slow sync does not delay heartbeats or lease grants. A write that
/// fails, for example on a full disk, is retried until it succeeds; until then,
/// nothing is reported as durable. Thread-safe.
class StorageThread {
 public:
  /// Called on the storage thread after each write.
  using Callback = std::function<void(uint64_t write_id, Expected<void>)>;

  /// @param store Null on a VM without a disk; writes then complete at once.
  StorageThread(std::unique_ptr<LogStore> store, Callback on_completed);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Write(uint64_t write_id, WriteBatch batch);

  /// Completes the queued writes and joins the thread. May be called more than
  /// once.
  void Stop();

 private:
  struct Job {
    uint64_t write_id = 0;
    WriteBatch batch;
  };

  /// Pause before a failed write is retried.
  static constexpr absl::Duration kRetryInterval = absl::Milliseconds(100);
  /// Interval at which repeated failures are logged.
  static constexpr absl::Duration kLogInterval = absl::Seconds(1);

  void Run();
  /// @return Nothing; `kSettingsTooLarge` when the batch can never be written,
  /// or the last error when the thread is stopped while writes fail.
  Expected<void> WriteUntilDone(const WriteBatch& batch);

  std::unique_ptr<LogStore> store_;
  Callback on_completed_;
  absl::Mutex mutex_;
  std::deque<Job> jobs_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::atomic<bool> stop_requested_{false};
  Waker waker_;
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_STORAGE_THREAD_H_
