#ifndef CAMPHORSAIL_PROCESS_LOG_RATE_LIMITER_H_
#define CAMPHORSAIL_PROCESS_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace camphorsail {

/// Limits the number of log lines per second of one event and counts the
/// dropped lines. Thread-safe.
class LogRateLimiter {
 public:
  /// @param now The wall clock. A new one-second window begins when it is set
  /// back.
  /// @return True when the line may be written.
  bool AllowLine(absl::Time now, int lines_per_second) {
    absl::MutexLock lock(&mutex_);
    if (now < window_start_ || now >= window_start_ + absl::Seconds(1)) {
      window_start_ = now;
      allowed_lines_ = 0;
    }
    if (allowed_lines_ >= lines_per_second) {
      ++dropped_lines_;
      return false;
    }
    ++allowed_lines_;
    return true;
  }

  /// @return Number of lines dropped since the last call; 0 while the
  /// one-second window in which they were dropped is not over.
  uint64_t TakeDropped(absl::Time now) {
    absl::MutexLock lock(&mutex_);
    const bool over =
        now < window_start_ || now >= window_start_ + absl::Seconds(1);
    return over ? std::exchange(dropped_lines_, 0) : 0;
  }
  /// @return True when there are dropped lines that `TakeDropped` has not
  /// returned.
  bool HasDropped() {
    absl::MutexLock lock(&mutex_);
    return dropped_lines_ > 0;
  }

 private:
  absl::Mutex mutex_;
  absl::Time window_start_ ABSL_GUARDED_BY(mutex_);
  int allowed_lines_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t dropped_lines_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_RATE_LIMITER_H_
