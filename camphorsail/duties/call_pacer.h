#ifndef CAMPHORSAIL_DUTIES_CALL_PACER_H_
#define CAMPHORSAIL_DUTIES_CALL_PACER_H_

#include <algorithm>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Spaces calls evenly, and further apart while they fail, so that a provider
/// that recovers gets no burst. Not thread-safe.
class CallPacer {
 public:
  /// @param calls_per_second Rate at which calls may be made.
  explicit CallPacer(double calls_per_second)
      : interval_(absl::Seconds(1) / calls_per_second) {}

  bool MayCall(MonoTime now) const { return now >= next_call_; }
  void OnCall(MonoTime now) { next_call_ = now + interval_; }
  /// Records a call that the provider took.
  void OnSuccess() { backoff_ = absl::ZeroDuration(); }
  /// Records a call that the provider did not take or answer.
  void OnFailure(MonoTime now) {
    backoff_ = std::clamp(backoff_ * 2, kShortestBackoff, kLongestBackoff);
    next_call_ = std::max(next_call_, now + backoff_);
  }

 private:
  static constexpr absl::Duration kShortestBackoff = absl::Milliseconds(250);
  static constexpr absl::Duration kLongestBackoff = absl::Seconds(2);

  absl::Duration interval_;
  absl::Duration backoff_;
  MonoTime next_call_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_CALL_PACER_H_
