#ifndef CAMPHORSAIL_PROCESS_LOG_LINE_BUDGET_H_
#define CAMPHORSAIL_PROCESS_LOG_LINE_BUDGET_H_

#include <cstdint>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace camphorsail {

/// Limits the number of log lines per second of one event and counts the
/// dropped lines. Thread-safe.
class LogLineBudget {
 public:
  /// @param now The wall clock. A new one-second window begins when it is set
  /// back.
  /// @return True when the line may be written.
  bool Take(absl::Time now, int lines_per_second) {
    absl::MutexLock lock(&mutex_);
    if (now < second_ || now >= second_ + absl::Seconds(1)) {
      second_ = now;
      used_ = 0;
    }
    if (used_ >= lines_per_second) {
      ++dropped_;
      return false;
    }
    ++used_;
    return true;
  }

  /// @return Number of lines dropped since the last call; 0 while the
  /// one-second window in which they were dropped is not over.
  uint64_t TakeDropped(absl::Time now) {
    absl::MutexLock lock(&mutex_);
    const bool over = now < second_ || now >= second_ + absl::Seconds(1);
    return over ? std::exchange(dropped_, 0) : 0;
  }
  /// @return True when there are dropped lines that `TakeDropped` has not
  /// returned.
  bool HasDropped() {
    absl::MutexLock lock(&mutex_);
    return dropped_ > 0;
  }

 private:
  absl::Mutex mutex_;
  absl::Time second_ ABSL_GUARDED_BY(mutex_);
  int used_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t dropped_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_LINE_BUDGET_H_
