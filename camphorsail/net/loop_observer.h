#ifndef CAMPHORSAIL_NET_LOOP_OBSERVER_H_
#define CAMPHORSAIL_NET_LOOP_OBSERVER_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"

namespace camphorsail {

/// What a callback of an event loop was called for.
enum class LoopSource : uint8_t {
  kOther,
  kListener,
  kCaller,
  kBackend,
  kTimer,
  kTask,
};
inline constexpr int kLoopSources = 6;

/// @return Name of the source for logs and metrics.
constexpr const char* ToString(LoopSource source) {
  switch (source) {
    case LoopSource::kOther:
      return "other";
    case LoopSource::kListener:
      return "listener";
    case LoopSource::kCaller:
      return "caller";
    case LoopSource::kBackend:
      return "backend";
    case LoopSource::kTimer:
      return "timer";
    case LoopSource::kTask:
      return "task";
  }
  return "other";
}

/// Is told how long the callbacks of an event loop take, and how late its
/// timers are. Both are called on the loop's thread and may be empty.
struct LoopObserver {
  std::function<void(LoopSource source, absl::Duration took)> on_callback;
  /// `late` is the time from the time of a timer to its callback.
  std::function<void(absl::Duration late)> on_timer;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_NET_LOOP_OBSERVER_H_
