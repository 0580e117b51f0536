#ifndef CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_POOL_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_POOL_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/gateway/backend_connection.h"
#include "camphorsail/net/event_loop.h"

namespace camphorsail {

/// Settings of a `BackendConnectionPool`.
struct BackendConnectionPoolSettings {
  /// Source address of the connections.
  std::string source_ip;
  /// Time limit for establishing a connection. Longer than a round trip between
  /// failure domains, and short enough to leave time for a second attempt
  /// within the tightest latency objective.
  absl::Duration connect_timeout = absl::Milliseconds(250);
  /// An idle connection is closed this long before the server would close it.
  absl::Duration keep_alive_margin = absl::Milliseconds(1500);
  /// Upper bound of the idle time of a connection, also used when the server
  /// states none.
  absl::Duration max_idle = absl::Seconds(30);
};

/// Pool of the connections to all backend servers, which are reused between
/// requests. Not thread-safe; used on the event loop's thread only.
class BackendConnectionPool {
 public:
  BackendConnectionPool(BackendConnectionPoolSettings settings,
                        EventLoop* loop);
  ~BackendConnectionPool();
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// @return A connection for one request: the idle connection that was used
  /// last, or a new one. The pointer is valid until the connection is closed.
  BackendConnection* Take(const NetworkAddress& address);

  /// Closes the idle connections to a server that is leaving.
  void CloseIdleTo(const NetworkAddress& address);
  /// Closes the connections that have been idle for too long. To be called
  /// every second.
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

  const BackendConnectionPoolSettings settings_;
  EventLoop* const loop_;
  BackendConnection::Owner owner_;
  absl::flat_hash_map<BackendConnection*, Entry> connections_;
  /// Idle connections by address; the one used last is at the end.
  absl::flat_hash_map<std::string, Connections> idle_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_POOL_H_
