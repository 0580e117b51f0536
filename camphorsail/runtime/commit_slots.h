#ifndef CAMPHORSAIL_RUNTIME_COMMIT_SLOTS_H_
#define CAMPHORSAIL_RUNTIME_COMMIT_SLOTS_H_

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace camphorsail {

/// Bounds the threads that wait for a commit at the same time. Thread-safe.
class CommitSlots {
 public:
  explicit CommitSlots(int slots) : free_(slots) {}

  /// Takes a slot.
  /// @param longest_wait Time to wait for one.
  /// @return False when none became free in time.
  bool Acquire(absl::Duration longest_wait) {
    const auto is_free = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return free_ > 0;
    };
    absl::MutexLock lock(&mutex_);
    if (!mutex_.AwaitWithTimeout(absl::Condition(&is_free), longest_wait)) {
      return false;
    }
    --free_;
    return true;
  }

  /// Gives a slot back.
  void Release() {
    absl::MutexLock lock(&mutex_);
    ++free_;
  }

 private:
  absl::Mutex mutex_;
  int free_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_COMMIT_SLOTS_H_
