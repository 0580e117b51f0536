#ifndef CAMPHORSAIL_NET_WAKER_H_
#define CAMPHORSAIL_NET_WAKER_H_

#include <atomic>

#include "absl/time/time.h"

namespace camphorsail {

/// Lets one thread sleep until another has something for it, or for a time that
/// steps of the wall clock do not change; the waits of condition variables
/// follow the wall clock. `Wake` is thread-safe, `Wait` is for one thread.
class Waker {
 public:
  Waker();
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  /// Ends the present or the next wait.
  void Wake();

  /// Waits until `Wake` is called.
  /// @param timeout Longest wait, rounded up to milliseconds.
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
