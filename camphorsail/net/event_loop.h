#ifndef CAMPHORSAIL_NET_EVENT_LOOP_H_
#define CAMPHORSAIL_NET_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/net/loop_observer.h"
#include "camphorsail/net/waker.h"

namespace camphorsail {

/// Waits for events on file descriptors and for timers, and calls their
/// handlers on one thread. Only `Post` and `Stop` may be called from other
/// threads. A handler may remove any watch or timer, its own included.
class EventLoop {
 public:
  /// @param events Event bits of epoll, such as `EPOLLIN`.
  using Handler = std::function<void(uint32_t events)>;
  using Task = std::function<void()>;
  /// Never zero for a watch that exists.
  using WatchId = uint64_t;
  using TimerId = std::pair<MonoTime, uint64_t>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// @param observer Is told about each callback from now on.
  void SetObserver(LoopObserver observer) { observer_ = std::move(observer); }

  /// Watches a descriptor until `Unwatch`, which must be called before the
  /// descriptor is closed.
  /// @param source What the descriptor belongs to, for the observer.
  WatchId Watch(int fd,
                uint32_t events,
                Handler handler,
                LoopSource source = LoopSource::kOther);
  /// Replaces the events of a watch.
  void ChangeEvents(WatchId id, uint32_t events);
  void Unwatch(WatchId id);
  bool IsWatched(WatchId id) const { return watches_.contains(id); }

  /// Runs a task once, when `time` has come.
  TimerId RunAt(MonoTime time, Task task);
  void Cancel(TimerId id) { timers_.erase(id); }

  /// Runs a task in a later iteration of the loop. Thread-safe.
  void Post(Task task);
  /// Ends `Run` after the current iteration. Thread-safe.
  void Stop();

  /// Runs until `Stop`.
  void Run();
  /// Waits for the next events or the next timer and handles them.
  void RunOnce();

  /// @return Time at which the current iteration stopped waiting.
  MonoTime now() const { return now_; }

 private:
  struct WatchedDescriptor {
    int fd = -1;
    Handler handler;
    LoopSource source = LoopSource::kOther;
  };

  /// Runs a callback and tells the observer how long it took.
  /// @return False when it ended with an exception.
  template <typename Callback>
  bool RunCallback(LoopSource source, const Callback& callback);
  void RunTimers();
  void RunTasks();

  int epoll_fd_;
  LoopObserver observer_;
  Waker waker_;
  MonoTime now_;
  WatchId next_watch_ = 1;
  absl::flat_hash_map<WatchId, std::unique_ptr<WatchedDescriptor>> watches_;
  uint64_t next_timer_ = 1;
  std::map<TimerId, Task> timers_;
  absl::Mutex mutex_;
  std::vector<Task> tasks_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> stopping_{false};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_NET_EVENT_LOOP_H_
