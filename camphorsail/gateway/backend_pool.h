#ifndef CAMPHORSAIL_GATEWAY_BACKEND_POOL_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_POOL_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/gateway/backend_connection.h"
#include "camphorsail/net/event_loop.h"

namespace camphorsail {

/// Settings of a `BackendPool`.
struct BackendPoolSettings {
  /// Source address of the connections.
  std::string source_ip;
  /// A connection that is not established within this time has failed. Longer
  /// than a round trip between failure domains, shorter than the tightest
  /// latency objective allows for a second try.
  absl::Duration connect_timeout = absl::Milliseconds(250);
  /// An idle connection is closed this long before the server closes it.
  absl::Duration keep_alive_margin = absl::Milliseconds(1500);
  /// Longest idle time where the server states none.
  absl::Duration max_idle = absl::Seconds(30);
};

/// The connections to all backend servers, reused between requests. Belongs to
/// the loop's thread.
class BackendPool {
 public:
  BackendPool(BackendPoolSettings settings, EventLoop* loop);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  /// @return A connection for one request: the idle one that was used last, or
  /// a new one. Valid until it is closed.
  BackendConnection* Take(const NetworkAddress& address);

  /// Closes connections that have been idle for too long; due every second.
  void CloseIdle();

 private:
  using Connections = std::vector<BackendConnection*>;

  absl::Duration IdleLimit(const BackendConnection& connection) const;
  void OnIdle(BackendConnection* connection);
  void OnClosed(BackendConnection* connection);

  struct Entry {
    std::unique_ptr<BackendConnection> connection;
    NetworkAddress address;
  };

  const BackendPoolSettings settings_;
  EventLoop* const loop_;
  BackendConnection::Owner owner_;
  absl::flat_hash_map<BackendConnection*, Entry> connections_;
  /// By address, the one used last at the end.
  absl::flat_hash_map<std::string, Connections> idle_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_POOL_H_
