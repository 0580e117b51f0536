#include "camphorsail/runtime/storage_thread.h"

#include <utility>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {

StorageThread::StorageThread(std::unique_ptr<LogStore> store,
                             Callback on_completed)
    : store_(std::move(store)),
      on_completed_(std::move(on_completed)),
      thread_([this] { Run(); }) {}

StorageThread::~StorageThread() {
  Stop();
}

void StorageThread::Write(uint64_t write_id, WriteBatch batch) {
  absl::MutexLock lock(&mutex_);
  jobs_.push_back(Job{write_id, std::move(batch)});
}

void StorageThread::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  stop_requested_ = true;
  waker_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void StorageThread::Run() {
  while (true) {
    Job job;
    {
      absl::MutexLock lock(&mutex_);
      const auto has_work = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !jobs_.empty();
      };
      mutex_.Await(absl::Condition(&has_work));
      if (jobs_.empty()) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    Expected<void> result;
    if (store_ != nullptr) {
      result = WriteUntilDone(job.batch);
    }
    on_completed_(job.write_id, std::move(result));
  }
}

Expected<void> StorageThread::WriteUntilDone(const WriteBatch& batch) {
  MonoTime failed_since;
  MonoTime next_log;
  while (true) {
    Expected<void> result = store_->Write(batch);
    const MonoTime now = MonotonicNow();
    if (result) {
      if (failed_since != MonoTime()) {
        LogEvent("storage_recovered").Add("failed_ms", now - failed_since);
      }
      return result;
    }
    if (result.error().kind != ErrorKind::kStorageFailed || stop_requested_) {
      return result;
    }
    if (failed_since == MonoTime()) {
      failed_since = now;
    }
    if (now >= next_log) {
      next_log = now + kLogInterval;
      LogEvent("storage_failed", LogLevel::kError)
          .Add("message", result.error().message)
          .Add("failed_ms", now - failed_since);
    }
    waker_.Wait(kRetryInterval);
  }
}

}  // namespace camphorsail
