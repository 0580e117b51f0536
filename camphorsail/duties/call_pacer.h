#ifndef CAMPHORSAIL_DUTIES_CALL_PACER_H_
#define CAMPHORSAIL_DUTIES_CALL_PACER_H_

#include <algorithm>
#include <cstddef>
#include <deque>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Spaces calls evenly, and further apart while they fail, so that a provider
/// that recovers gets no burst. A call may reach the provider at any time until
/// it ends; therefore the calls in progress and those that ended within the
/// last second are bounded too. Not thread-safe.
class CallPacer {
 public:
  /// @param calls_per_second Rate at which calls may be made, and number of
  /// them that may reach the provider within one second; at least one may.
  explicit CallPacer(double calls_per_second)
      : interval_(absl::Seconds(1) / calls_per_second),
        max_recent_(static_cast<size_t>(std::max(calls_per_second, 1.0))) {}

  bool MayCall(MonoTime now) const {
    const auto first_recent =
        std::upper_bound(ended_.begin(), ended_.end(), now - kRateWindow);
    const auto recent = static_cast<size_t>(ended_.end() - first_recent);
    return now >= next_call_ && in_progress_ + recent < max_recent_;
  }
  /// Records the start of a call.
  void OnCall(MonoTime now) {
    ++in_progress_;
    next_call_ = now + interval_;
  }
  /// Records the end of a call.
  /// @param was_taken False when the provider did not take or answer it.
  void OnEnd(bool was_taken, MonoTime now) {
    --in_progress_;
    ended_.push_back(now);
    if (ended_.size() > max_recent_) {
      ended_.pop_front();
    }
    if (was_taken) {
      backoff_ = absl::ZeroDuration();
      return;
    }
    backoff_ = std::clamp(backoff_ * 2, kShortestBackoff, kLongestBackoff);
    next_call_ = std::max(next_call_, now + backoff_);
  }

 private:
  static constexpr absl::Duration kRateWindow = absl::Seconds(1);
  static constexpr absl::Duration kShortestBackoff = absl::Milliseconds(250);
  static constexpr absl::Duration kLongestBackoff = absl::Seconds(2);

  absl::Duration interval_;
  size_t max_recent_;
  size_t in_progress_ = 0;
  /// When the latest calls ended, the earliest first.
  std::deque<MonoTime> ended_;
  absl::Duration backoff_;
  MonoTime next_call_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_CALL_PACER_H_
