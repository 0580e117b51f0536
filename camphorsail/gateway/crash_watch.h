#ifndef CAMPHORSAIL_GATEWAY_CRASH_WATCH_H_
#define CAMPHORSAIL_GATEWAY_CRASH_WATCH_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/gateway/connect_check.h"
#include "camphorsail/placement/backend_server.h"

namespace camphorsail {

/// Tells a server that has ended from a connection that was lost. When an
/// attempt on a server breaks off, it checks whether anything still listens at
/// the server's address. Makes at most one check of a server at a time. Not
/// thread-safe; used on the event loop's thread only.
class CrashWatch {
 public:
  /// @param ended False when the server is still there, or when this is not
  /// known.
  using Decided = std::function<void(const Ref<BackendServer>&, bool ended)>;

  /// @param source_ip Local address of the checks.
  /// @param loop Must outlive this object.
  /// @param decided Called once for each check.
  CrashWatch(std::string source_ip, EventLoop* loop, Decided decided);

  /// Starts a check of the server, unless there is one in progress.
  void Check(const Ref<BackendServer>& server);
  /// @return True while a check of the server is in progress.
  bool IsChecking(const BackendServer& server) const {
    return checks_.contains(&server);
  }

 private:
  struct Entry {
    /// Keeps the server, and so the key of the map, valid.
    Ref<BackendServer> server;
    std::unique_ptr<ConnectCheck> check;
  };

  void OnDone(const BackendServer* server, ConnectCheck::Result result);

  const std::string source_ip_;
  EventLoop* const loop_;
  const Decided decided_;
  absl::flat_hash_map<const BackendServer*, Entry> checks_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CRASH_WATCH_H_
