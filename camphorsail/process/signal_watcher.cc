#include "camphorsail/process/signal_watcher.h"

#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>

namespace camphorsail {

Expected<std::unique_ptr<SignalWatcher>> SignalWatcher::Create() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  if (pthread_sigmask(SIG_BLOCK, &signals, nullptr) != 0) {
    return Fail(ErrorKind::kInternal,
                "cannot block SIGTERM, SIGINT and SIGHUP");
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) {
    return Fail(ErrorKind::kInternal, "cannot create a descriptor by signalfd");
  }
  return std::unique_ptr<SignalWatcher>(new SignalWatcher(fd));
}

SignalWatcher::~SignalWatcher() {
  close(fd_);
}

int SignalWatcher::Wait(absl::Duration timeout) {
  using Clock = std::chrono::steady_clock;
  const Clock::time_point start = Clock::now();
  while (true) {
    signalfd_siginfo info;
    if (read(fd_, &info, sizeof(info)) == sizeof(info)) {
      return static_cast<int>(info.ssi_signo);
    }
    const absl::Duration left =
        timeout - absl::FromChrono(Clock::now() - start);
    if (left <= absl::ZeroDuration()) {
      return 0;
    }
    pollfd entry = {fd_, POLLIN, 0};
    // Waits at most one hour at a time, since poll takes its timeout as an int.
    const int64_t wait_ms = absl::ToInt64Milliseconds(
        std::min(left, absl::Duration(absl::Hours(1))));
    poll(&entry, 1, static_cast<int>(wait_ms) + 1);
  }
}

}  // namespace camphorsail
