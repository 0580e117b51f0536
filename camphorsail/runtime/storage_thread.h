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

/// Carries out the control path's writes in order on a thread of its own, so
/// that a slow sync delays no heartbeat and no lease grant. A write that fails,
/// on a full disk for example, is tried again until it succeeds; nothing is
/// reported as durable meanwhile. Thread-safe.
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

  /// Completes the queued writes and joins the thread. May be called again.
  void Stop();

 private:
  struct Job {
    uint64_t write_id = 0;
    WriteBatch batch;
  };

  /// Pause before a failed write is tried again.
  static constexpr absl::Duration kRetryInterval = absl::Milliseconds(100);
  /// A disk that goes on failing is logged this often.
  static constexpr absl::Duration kLogInterval = absl::Seconds(1);

  void Run();
  /// @return Nothing; `kSettingsTooLarge` when the batch can never be written,
  /// or the last error when the thread is stopped.
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
