#ifndef TESTS_FAKES_GATEWAY_LOOP_DRIVER_H_
#define TESTS_FAKES_GATEWAY_LOOP_DRIVER_H_

#include <functional>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/net/event_loop.h"

namespace camphorsail {

/// Runs an event loop on the test's thread until a condition is true or a time
/// has passed.
class LoopDriver {
 public:
  EventLoop loop;

  /// Runs the loop until `condition` is true.
  /// @return False when `condition` is still false after 30 s.
  bool RunUntil(const std::function<bool()>& condition) {
    const MonoTime limit = MonotonicNow() + absl::Seconds(30);
    while (!condition()) {
      if (MonotonicNow() >= limit) {
        return false;
      }
      RunFor(absl::Milliseconds(2));
    }
    return true;
  }

  void RunFor(absl::Duration duration) {
    const MonoTime end = MonotonicNow() + duration;
    bool ended = false;
    loop.RunAt(end, [&ended] { ended = true; });
    while (!ended) {
      loop.RunOnce();
    }
  }
};

}  // namespace camphorsail

#endif  // TESTS_FAKES_GATEWAY_LOOP_DRIVER_H_
