#include "camphorsail/net/waker.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace camphorsail {

Waker::Waker() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

Waker::~Waker() {
  close(fd_);
}

void Waker::Wake() {
  if (!pending_.exchange(true)) {
    const uint64_t one = 1;
    // The counter cannot overflow, because it is written once for each `Clear`.
    [[maybe_unused]] const ssize_t written = write(fd_, &one, sizeof(one));
  }
}

void Waker::Clear() {
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t size = read(fd_, &count, sizeof(count));
  pending_ = false;
}

void Waker::Wait(absl::Duration timeout) {
  pollfd descriptor{fd_, POLLIN, 0};
  const int64_t ms =
      absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1)));
  const int ready = poll(
      &descriptor, 1, static_cast<int>(std::clamp<int64_t>(ms, 0, 3'600'000)));
  if (ready > 0) {
    Clear();
  }
}

}  // namespace camphorsail
