#ifndef CAMPHORSAIL_HTTP_STREAM_SERVER_H_
#define CAMPHORSAIL_HTTP_STREAM_SERVER_H_

#include <microhttpd.h>

#include <atomic>
#include <cstdint>
#include <memory>

#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/http/disconnect_watcher.h"
#include "camphorsail/http/stream_handlers.h"
#include "camphorsail/http/stream_server_settings.h"

namespace camphorsail {

/// One HTTP listener, based on libmicrohttpd, whose answers may be written from
/// any thread. Owns the listener's threads. Thread-safe.
class StreamServer {
 public:
  /// @param settings Valid settings.
  /// @param handlers Called on the server's threads.
  /// @return The listening server, or `kSettingsInvalid` when the address
  ///     cannot be used.
  static Expected<std::unique_ptr<StreamServer>> Create(
      const StreamServerSettings& settings,
      StreamHandlers handlers);
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  /// @return The port that the server listens on.
  uint16_t port() const { return port_; }
  /// @return Number of exchanges whose answer has not been sent completely.
  int open_streams() const;

  /// Waits until no exchange is open.
  ///
  /// @param timeout Longest wait.
  /// @return True when none is open.
  bool WaitUntilIdle(absl::Duration timeout) const;

 private:
  friend class ServerStream;

  StreamServer(const StreamServerSettings& settings, StreamHandlers handlers);

  // Callbacks of libmicrohttpd; `cls` is the server.
  static void* OnTarget(void* cls,
                        const char* target,
                        MHD_Connection* connection);
  static MHD_Result OnAccess(void* cls,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             size_t* upload_data_size,
                             void** state);
  static void OnCompleted(void* cls,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);
  static ssize_t OnRead(void* cls, uint64_t position, char* out, size_t max);

  MHD_Result BeginStream(MHD_Connection* connection,
                         const char* url,
                         const char* method,
                         const Ref<ServerStream>& stream);
  MHD_Result ReceiveBody(ServerStream* stream, const char* data, size_t* size);
  // Passes the answer to libmicrohttpd when it can be sent, and otherwise
  // suspends the connection.
  MHD_Result QueueOrSuspend(ServerStream* stream, MHD_Connection* connection);
  MHD_Response* MakeResponseLocked(ServerStream* stream)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(stream->mutex_);
  void OnDisconnect(const Ref<ServerStream>& stream);

  const StreamServerSettings settings_;
  const StreamHandlers handlers_;
  std::unique_ptr<DisconnectWatcher> watcher_;
  MHD_Daemon* daemon_ = nullptr;
  uint16_t port_ = 0;
  /// Bytes of the bodies of all open exchanges.
  std::atomic<size_t> total_body_bytes_{0};
  /// Set by the destructor: no connection may be suspended any more.
  std::atomic<bool> stopping_{false};
  /// Taken before a stream's lock.
  mutable absl::Mutex mutex_;
  absl::flat_hash_set<ServerStream*> streams_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_STREAM_SERVER_H_
