#ifndef CAMPHORSAIL_PROCESS_SIGNAL_WATCHER_H_
#define CAMPHORSAIL_PROCESS_SIGNAL_WATCHER_H_

#include <memory>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"

namespace camphorsail {

/// Turns SIGTERM, SIGINT and SIGHUP into a readable descriptor, so that a stop
/// or a reload is handled outside of a signal handler. Blocks the signals in
/// the creating thread; create it in `main` before any other thread, which then
/// inherits the mask. Ignores SIGPIPE, because the call that writes to a closed
/// socket already returns an error.
class SignalWatcher {
 public:
  /// @return The watcher. Error: `kInternal`.
  static Expected<std::unique_ptr<SignalWatcher>> Create();

  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

  /// @return A descriptor that is readable while a signal is pending, for
  /// `poll`.
  int fd() const { return fd_; }

  /// Waits for a signal and consumes it.
  ///
  /// @param timeout `absl::InfiniteDuration()` waits without a limit.
  /// @return SIGTERM, SIGINT or SIGHUP; 0 after the timeout.
  int Wait(absl::Duration timeout);

 private:
  explicit SignalWatcher(int fd) : fd_(fd) {}

  const int fd_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_SIGNAL_WATCHER_H_
