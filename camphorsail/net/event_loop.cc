#include "camphorsail/net/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>

#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/process/guarded_call.h"

namespace camphorsail {
namespace {

constexpr EventLoop::WatchId kWakerId = 0;

}  // namespace

EventLoop::EventLoop()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)), now_(MonotonicNow()) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakerId;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, waker_.fd(), &event);
}

EventLoop::~EventLoop() {
  close(epoll_fd_);
}

template <typename Callback>
bool EventLoop::RunCallback(LoopSource source, const Callback& callback) {
  if (!observer_.on_callback) {
    return GuardedCall("event_loop", callback);
  }
  const MonoTime start = MonotonicNow();
  const bool succeeded = GuardedCall("event_loop", callback);
  observer_.on_callback(source, MonotonicNow() - start);
  return succeeded;
}

EventLoop::WatchId EventLoop::Watch(int fd,
                                    uint32_t events,
                                    Handler handler,
                                    LoopSource source) {
  const WatchId id = next_watch_++;
  epoll_event event = {};
  event.events = events;
  event.data.u64 = id;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  watches_[id] = std::make_unique<WatchedDescriptor>(
      WatchedDescriptor{fd, std::move(handler), source});
  return id;
}

void EventLoop::ChangeEvents(WatchId id, uint32_t events) {
  const auto found = watches_.find(id);
  if (found == watches_.end()) {
    return;
  }
  epoll_event event = {};
  event.events = events;
  event.data.u64 = id;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, found->second->fd, &event);
}

void EventLoop::Unwatch(WatchId id) {
  const auto found = watches_.find(id);
  if (found == watches_.end()) {
    return;
  }
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, found->second->fd, nullptr);
  watches_.erase(found);
}

EventLoop::TimerId EventLoop::RunAt(MonoTime time, Task task) {
  const TimerId id(time, next_timer_++);
  timers_.emplace(id, std::move(task));
  return id;
}

void EventLoop::Post(Task task) {
  {
    absl::MutexLock lock(&mutex_);
    tasks_.push_back(std::move(task));
  }
  waker_.Wake();
}

void EventLoop::Stop() {
  stopping_ = true;
  waker_.Wake();
}

void EventLoop::Run() {
  while (!stopping_) {
    RunOnce();
  }
}

void EventLoop::RunOnce() {
  std::array<epoll_event, 128> events;
  int wait_ms = -1;
  if (!timers_.empty()) {
    const absl::Duration left = timers_.begin()->first.first - MonotonicNow();
    wait_ms = static_cast<int>(std::clamp<int64_t>(
        absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1))), 0,
        60'000));
  }
  const int count = epoll_wait(epoll_fd_, events.data(),
                               static_cast<int>(events.size()), wait_ms);
  now_ = MonotonicNow();
  for (int i = 0; i < count; ++i) {
    if (events[i].data.u64 == kWakerId) {
      waker_.Clear();
      RunTasks();
      continue;
    }
    const auto found = watches_.find(events[i].data.u64);
    if (found != watches_.end()) {
      // A copy, because the handler may remove its own watch.
      const Handler handler = found->second->handler;
      if (!RunCallback(found->second->source,
                       [&] { handler(events[i].events); })) {
        // The same event would fail again at once. The owner of the descriptor
        // ends it by its own time limit.
        Unwatch(events[i].data.u64);
      }
    }
  }
  RunTimers();
}

void EventLoop::RunTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    const Task task = std::move(timers_.begin()->second);
    if (observer_.on_timer) {
      observer_.on_timer(MonotonicNow() - timers_.begin()->first.first);
    }
    timers_.erase(timers_.begin());
    RunCallback(LoopSource::kTimer, task);
  }
}

void EventLoop::RunTasks() {
  std::vector<Task> tasks;
  {
    absl::MutexLock lock(&mutex_);
    tasks.swap(tasks_);
  }
  for (const Task& task : tasks) {
    RunCallback(LoopSource::kTask, task);
  }
}

}  // namespace camphorsail
