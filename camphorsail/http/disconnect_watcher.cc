#include "camphorsail/http/disconnect_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace camphorsail {

DisconnectWatcher::DisconnectWatcher(
    std::function<void(const Ref<ServerStream>&)> on_gone)
    : on_gone_(std::move(on_gone)),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      stop_fd_(eventfd(0, EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = stop_fd_;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, stop_fd_, &event);
  thread_ = std::thread([this] { Run(); });
}

DisconnectWatcher::~DisconnectWatcher() {
  const uint64_t one = 1;
  (void)!write(stop_fd_, &one, sizeof(one));
  thread_.join();
  close(stop_fd_);
  close(epoll_fd_);
}

void DisconnectWatcher::Watch(int fd, Ref<ServerStream> stream) {
  absl::MutexLock lock(&mutex_);
  streams_[fd] = std::move(stream);
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLONESHOT;
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void DisconnectWatcher::Unwatch(int fd) {
  absl::MutexLock lock(&mutex_);
  if (streams_.erase(fd) > 0) {
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  }
}

void DisconnectWatcher::Run() {
  std::array<epoll_event, 64> events;
  while (true) {
    const int count = epoll_wait(epoll_fd_, events.data(),
                                 static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.fd == stop_fd_) {
        return;
      }
      Ref<ServerStream> stream;
      {
        absl::MutexLock lock(&mutex_);
        const auto found = streams_.find(events[i].data.fd);
        if (found == streams_.end()) {
          continue;
        }
        stream = std::move(found->second);
        streams_.erase(found);
        epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, events[i].data.fd, nullptr);
      }
      on_gone_(stream);
    }
  }
}

}  // namespace camphorsail
