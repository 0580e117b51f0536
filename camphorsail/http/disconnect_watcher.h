#ifndef CAMPHORSAIL_HTTP_DISCONNECT_WATCHER_H_
#define CAMPHORSAIL_HTTP_DISCONNECT_WATCHER_H_

#include <functional>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/http/server_stream.h"

namespace camphorsail {

/// Detects that a client closed its connection while libmicrohttpd has
/// suspended it; the library does not monitor suspended connections. A client
/// that only shuts down its sending side also counts as disconnected.
/// Thread-safe; owns one thread.
class DisconnectWatcher {
 public:
  /// @param on_gone Called on the watcher's thread, once per watched stream.
  explicit DisconnectWatcher(
      std::function<void(const Ref<ServerStream>&)> on_gone);
  ~DisconnectWatcher();
  DisconnectWatcher(const DisconnectWatcher&) = delete;
  DisconnectWatcher& operator=(const DisconnectWatcher&) = delete;

  /// @param fd The connection's socket. `Unwatch` must be called before it is
  /// closed.
  /// @param stream Given to `on_gone`.
  void Watch(int fd, Ref<ServerStream> stream);
  void Unwatch(int fd);

 private:
  void Run();

  const std::function<void(const Ref<ServerStream>&)> on_gone_;
  int epoll_fd_;
  int stop_fd_;
  absl::Mutex mutex_;
  absl::flat_hash_map<int, Ref<ServerStream>> streams_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_DISCONNECT_WATCHER_H_
