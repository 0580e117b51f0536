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

/// Accepts callers at one address and owns their connections. Belongs to the
/// loop's thread.
class CallerListener {
 public:
  /// @param limits Asked for each new connection.
  /// @param budget Of all connections together.
  /// @param handlers Of all connections; `on_closed` may be empty.
  /// @return The listening object; the error of `ListenTcp`.
  static Expected<std::unique_ptr<CallerListener>> Create(
      const NetworkAddress& address,
      EventLoop* loop,
      std::function<CallerLimits()> limits,
      const CallerBudgetSettings& budget,
      CallerHandlers handlers);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Closes the connections without a request in progress, and the others after
  /// their answer.
  void CloseConnections();
  /// New callers are turned away from now on.
  void StopAccepting();
  /// Has each answer from now on end its connection.
  void SetLastRequests();

  /// @return The port that is listened on.
  uint16_t port() const { return port_; }
  size_t open_connections() const { return connections_.size(); }
  /// @return Bytes of requests that are held.
  size_t held_bytes() const { return budget_.used(); }
  /// @return Connections that were closed at once for lack of room.
  uint64_t turned_away() const { return turned_away_; }

 private:
  CallerListener(int fd,
                 EventLoop* loop,
                 std::function<CallerLimits()> limits,
                 const CallerBudgetSettings& budget,
                 CallerHandlers handlers);

  void Accept();
  void Sweep();

  int fd_;
  uint16_t port_ = 0;
  EventLoop* const loop_;
  const std::function<CallerLimits()> limits_;
  CallerBudget budget_;
  CallerHandlers handlers_;
  uint64_t turned_away_ = 0;
  EventLoop::WatchId watch_ = 0;
  EventLoop::TimerId sweep_timer_;
  bool last_requests_ = false;
  absl::flat_hash_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      connections_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_LISTENER_H_
