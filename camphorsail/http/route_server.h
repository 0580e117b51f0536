#ifndef CAMPHORSAIL_HTTP_ROUTE_SERVER_H_
#define CAMPHORSAIL_HTTP_ROUTE_SERVER_H_

#include <atomic>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "camphorsail/http/route_table.h"
#include "camphorsail/http/stream_server.h"

namespace camphorsail {

/// A listener whose requests are answered by a `RouteTable` on worker threads,
/// so that a blocking handler does not delay other connections. Thread-safe.
class RouteServer {
 public:
  /// @param settings Valid settings.
  /// @param routes The complete table.
  /// @param workers Number of worker threads, at least 1.
  /// @return The listening server, or `kSettingsInvalid`.
  static Expected<std::unique_ptr<RouteServer>>
  Create(const StreamServerSettings& settings, RouteTable routes, int workers);
  ~RouteServer();
  RouteServer(const RouteServer&) = delete;
  RouteServer& operator=(const RouteServer&) = delete;

  uint16_t port() const { return server_->port(); }

 private:
  /// Largest number of waiting requests; further requests are refused.
  static constexpr size_t kMaxWaitingRequests = 1024;

  explicit RouteServer(RouteTable routes) : routes_(std::move(routes)) {}

  void Enqueue(const Ref<ServerStream>& stream);
  void RunWorker();

  const RouteTable routes_;
  std::atomic<uint64_t> next_id_{1};
  absl::Mutex mutex_;
  std::deque<Ref<ServerStream>> waiting_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::unique_ptr<StreamServer> server_;
  std::vector<std::thread> workers_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ROUTE_SERVER_H_
