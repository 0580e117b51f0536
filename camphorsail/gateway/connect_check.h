#ifndef CAMPHORSAIL_GATEWAY_CONNECT_CHECK_H_
#define CAMPHORSAIL_GATEWAY_CONNECT_CHECK_H_

#include <cstdint>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/net/event_loop.h"

namespace camphorsail {

/// Finds out whether a process listens at an address: opens a connection,
/// sends nothing and closes it. Not thread-safe; used on the event loop's
/// thread only.
class ConnectCheck {
 public:
  enum class Result : uint8_t {
    kAccepted,
    /// Nothing listens at the address.
    kRefused,
    /// There was no answer in time, or the check could not be made.
    kUnknown,
  };
  using Done = std::function<void(Result)>;

  /// @param source_ip Local address of the connection.
  /// @param timeout Time after which the result is `kUnknown`.
  /// @param done Called once, in a later iteration of the event loop, unless
  /// the check is destroyed before. May destroy the check.
  ConnectCheck(const std::string& source_ip,
               const NetworkAddress& address,
               absl::Duration timeout,
               EventLoop* loop,
               Done done);
  ~ConnectCheck();
  ConnectCheck(const ConnectCheck&) = delete;
  ConnectCheck& operator=(const ConnectCheck&) = delete;

 private:
  void OnConnected();
  void Finish(Result result);
  void Close();

  EventLoop* const loop_;
  Done done_;
  int fd_ = -1;
  EventLoop::WatchId watch_ = 0;
  EventLoop::TimerId timer_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CONNECT_CHECK_H_
