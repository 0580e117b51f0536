#ifndef CAMPHORSAIL_HTTP_SERVER_STREAM_H_
#define CAMPHORSAIL_HTTP_SERVER_STREAM_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/http/http_request.h"
#include "camphorsail/http/http_response.h"

struct MHD_Connection;

namespace camphorsail {

class StreamServer;

/// One HTTP exchange on a `StreamServer`: the request and its answer, which may
/// be written from any thread. The connection is suspended while the answer has
/// no bytes to send. Thread-safe; its lock is the innermost lock of the request
/// path.
class ServerStream : public RefCounted<ServerStream> {
 public:
  ServerStream(StreamServer* server, MHD_Connection* connection, int fd);
  ~ServerStream() = default;

  /// The request. Immutable once the headers handler has run, except `body`,
  /// which is set before the body handler runs.
  const HttpRequest& request() const { return request_; }
  HttpRequest& mutable_request() { return request_; }

  /// A number that the user of the server stores with the stream.
  uint64_t tag() const { return tag_; }
  void set_tag(uint64_t tag) { tag_ = tag; }

  /// Sets status and headers. The answer's bytes follow through `Write`.
  ///
  /// @param head Its body is ignored.
  /// @param streamed True to send bytes as soon as they are written; false to
  ///     send the complete answer with its length at `End`.
  void Start(HttpResponse head, bool streamed);
  /// Adds bytes to the answer.
  void Write(std::string_view data);
  /// Completes the answer. When the request's body is still arriving, the
  /// connection is closed after the answer.
  void End();
  /// Closes the connection without completing the answer.
  void Abort();
  /// Sends a complete answer.
  void Respond(const HttpResponse& response);

 private:
  friend class StreamServer;

  void SetBodyArrived() {
    absl::MutexLock lock(&mutex_);
    awaiting_body_ = false;
  }
  bool IsStarted() {
    absl::MutexLock lock(&mutex_);
    return started_;
  }
  // Answers a request whose body has not arrived and closes the connection.
  void AnswerBeforeBodyLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Resumes the connection if it is suspended.
  void ResumeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Suspends the connection.
  void SuspendLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  StreamServer* const server_;
  const int fd_;
  HttpRequest request_;
  uint64_t tag_ = 0;

  /// Used only by the server's thread of this connection, as are the members up
  /// to `watched_`. True once the request's headers are complete.
  bool headers_received_ = false;
  bool body_complete_ = false;
  bool body_failed_ = false;
  /// Why the body was rejected.
  ErrorKind body_error_ = ErrorKind::kBodyTooLarge;
  /// Bytes of the body that are counted in the server's `total_body_bytes_`.
  size_t counted_bytes_ = 0;
  /// Bytes of a rejected body that were dropped.
  size_t dropped_bytes_ = 0;
  /// True once the disconnect watcher watches the socket.
  bool watched_ = false;

  absl::Mutex mutex_;
  /// Null once the exchange is over.
  MHD_Connection* connection_ ABSL_GUARDED_BY(mutex_);
  HttpResponse head_ ABSL_GUARDED_BY(mutex_);
  bool started_ ABSL_GUARDED_BY(mutex_) = false;
  bool streamed_ ABSL_GUARDED_BY(mutex_) = false;
  bool ended_ ABSL_GUARDED_BY(mutex_) = false;
  bool aborted_ ABSL_GUARDED_BY(mutex_) = false;
  bool suspended_ ABSL_GUARDED_BY(mutex_) = false;
  /// True while the body is arriving, after the headers have been handled.
  bool awaiting_body_ ABSL_GUARDED_BY(mutex_) = false;
  /// True once the answer has been passed to libmicrohttpd.
  bool queued_ ABSL_GUARDED_BY(mutex_) = false;
  /// Bytes of the answer; those before `offset_` have been taken by the
  /// connection.
  std::string buffer_ ABSL_GUARDED_BY(mutex_);
  size_t offset_ ABSL_GUARDED_BY(mutex_) = 0;
  /// Bytes that the connection has taken and that have not been reported to the
  /// `on_drained` handler.
  size_t unreported_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_SERVER_STREAM_H_
