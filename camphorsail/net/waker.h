#ifndef CAMPHORSAIL_NET_WAKER_H_
#define CAMPHORSAIL_NET_WAKER_H_

#include <atomic>

#include "absl/time/time.h"

namespace camphorsail {

/// Lets one thread wait until another thread wakes it or a timeout passes.
/// Steps of the wall clock do not change the timeout, unlike the timeouts of
/// condition variables, which follow the wall clock. `Wake` is thread-safe;
/// `Wait` may be called by one thread only.
class Waker {
 public:
  Waker();
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  /// Ends the current wait or, when there is none, the next one.
  void Wake();

  /// Waits until `Wake` is called.
  /// @param timeout Longest wait, rounded up to milliseconds and limited to one
  /// hour.
  void Wait(absl::Duration timeout);

  /// @return A descriptor that is readable after `Wake`; `Clear` resets it.
  int fd() const { return fd_; }
  void Clear();

 private:
  int fd_;
  std::atomic<bool> pending_{false};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_NET_WAKER_H_
