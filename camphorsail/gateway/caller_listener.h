#ifndef CAMPHORSAIL_GATEWAY_CALLER_LISTENER_H_
#define CAMPHORSAIL_GATEWAY_CALLER_LISTENER_H_

#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/gateway/caller_connection.h"
#include "camphorsail/gateway/caller_handlers.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/routing/caller_limits.h"

namespace camphorsail {

/// Accepts the connections of callers at one address and owns them. Not
/// thread-safe; used on the event loop's thread only.
class CallerListener {
 public:
  /// @param limits Called for each request to get its limits.
  /// @param budget Limits of all connections together.
  /// @param answers Counts the bytes that callers have not taken; must outlive
  /// the listener.
  /// @param handlers Callbacks of all connections; `on_closed` may be empty.
  /// @return The listener, or the error of `ListenTcp`.
  static Expected<std::unique_ptr<CallerListener>> Create(
      const NetworkAddress& address,
      EventLoop* loop,
      std::function<CallerLimits()> limits,
      const CallerBudgetSettings& budget,
      ByteAccount* answers,
      CallerHandlers handlers);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Closes the connections without a request in progress now, and the other
  /// connections after their answer.
  void CloseConnectionsWhenIdle();
  /// Closes the listening socket, so that no new connections are accepted.
  void StopAccepting();
  /// Closes each connection after its next answer, also those accepted later.
  void CloseConnectionsAfterNextAnswer();

  /// @return The port that the listener is bound to.
  uint16_t port() const { return port_; }
  /// @return Connections whose callers have not taken all bytes of their
  /// answers.
  size_t untaken_answers() const;
  size_t open_connections() const { return connections_.size(); }
  /// @return Bytes of requests held in memory.
  size_t held_bytes() const { return budget_.requests().total(); }
  /// @return Connections closed on arrival because the limit of open
  /// connections was reached.
  uint64_t rejected_connections() const { return rejected_connections_; }

 private:
  CallerListener(int fd,
                 EventLoop* loop,
                 std::function<CallerLimits()> limits,
                 const CallerBudgetSettings& budget,
                 ByteAccount* answers,
                 CallerHandlers handlers);

  void Accept();
  void Sweep();

  int fd_;
  uint16_t port_ = 0;
  EventLoop* const loop_;
  const std::function<CallerLimits()> limits_;
  CallerBudget budget_;
  ByteAccount* const answers_;
  CallerHandlers handlers_;
  uint64_t rejected_connections_ = 0;
  EventLoop::WatchId watch_ = 0;
  EventLoop::TimerId sweep_timer_;
  bool closing_after_next_answer_ = false;
  absl::flat_hash_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_LISTENER_H_
