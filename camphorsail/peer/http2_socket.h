#ifndef CAMPHORSAIL_PEER_HTTP2_SOCKET_H_
#define CAMPHORSAIL_PEER_HTTP2_SOCKET_H_

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// A non-blocking TCP socket with an HTTP/2 session that carries one stream.
///
/// Independent of the peer protocol: the owner submits the header blocks, and
/// supplies and receives the stream's bytes through `Hooks`. Memory is bounded:
/// outgoing bytes are taken from the owner only as fast as the socket accepts
/// them, and received bytes are passed on at once. Owned by one connection and
/// used only on the transport's thread.
class Http2Socket {
 public:
  enum class Side : uint8_t { kClient, kServer };
  using Headers = std::vector<std::pair<std::string, std::string>>;

  /// Called inside `Read` and `Write`. A hook that returns false ends the
  /// connection.
  struct Hooks {
    std::function<bool(std::string_view name, std::string_view value)>
        on_header;
    /// The stream's header block is complete.
    std::function<bool()> on_headers_end;
    std::function<bool(std::string_view bytes)> on_data;
    /// Writes up to `capacity` bytes of the stream to `buffer` and returns
    /// their number. After it returned zero it is not called again until
    /// `ResumeData`.
    std::function<size_t(uint8_t* buffer, size_t capacity)> fill;
  };

  /// @param fd A non-blocking socket, which is closed with this object. It may
  /// still be connecting.
  Http2Socket(int fd, Side side, Hooks hooks, MonoTime now);
  ~Http2Socket();
  Http2Socket(const Http2Socket&) = delete;
  Http2Socket& operator=(const Http2Socket&) = delete;

  /// Client: opens the stream with these request headers.
  bool SubmitRequest(const Headers& headers);
  /// Server: answers the request. With `end` the response carries no data and
  /// the connection is closed once the response is written; otherwise the
  /// stream stays open.
  bool SubmitResponse(const Headers& headers, bool end);
  /// Tells the session that `fill` has bytes again.
  void ResumeData();

  /// Reads the available bytes, up to a limit per call, so that other
  /// connections are not delayed. @return False when the connection is
  /// finished.
  bool Read(MonoTime now);
  /// Writes as much as the socket accepts. @return False when the connection is
  /// finished.
  bool Write();
  /// Submits a PING when nothing was received and no PING submitted for
  /// `ping_interval`. @return False when nothing was received from the remote
  /// end for `idle_timeout`.
  bool CheckLiveness(MonoTime now,
                     absl::Duration ping_interval,
                     absl::Duration idle_timeout);

  /// @return True when the socket did not accept all bytes that were to be
  /// written.
  bool write_blocked() const { return write_offset_ < write_buffer_.size(); }
  /// @return True when bytes are waiting to be written here, or the remote
  /// end's kernel has not acknowledged all written bytes.
  bool HasUnacknowledgedBytes() const;
  /// @return The next time at which `CheckLiveness` must be called.
  MonoTime NextLivenessCheck(absl::Duration ping_interval,
                             absl::Duration idle_timeout) const;
  /// @return Bytes sent and received since the last call.
  std::pair<uint64_t, uint64_t> TakeWireBytes();
  int fd() const { return fd_; }
  /// @return Why the connection is finished; for the log.
  const std::string& close_reason() const { return close_reason_; }

 private:
  static int OnHeader(nghttp2_session* session,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t flags,
                      void* user_data);
  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* user_data);
  static int OnData(nghttp2_session* session,
                    uint8_t flags,
                    int32_t stream,
                    const uint8_t* bytes,
                    size_t size,
                    void* user_data);
  static int OnStreamClose(nghttp2_session* session,
                           int32_t stream,
                           uint32_t error_code,
                           void* user_data);
  static ssize_t FillData(nghttp2_session* session,
                          int32_t stream,
                          uint8_t* buffer,
                          size_t capacity,
                          uint32_t* flags,
                          nghttp2_data_source* source,
                          void* user_data);
  /// Records why the connection ends, unless a reason is already recorded.
  /// Returns the nghttp2 code with which a callback ends the session.
  int RecordCloseReason(std::string reason);

  const int fd_;
  const Hooks hooks_;
  nghttp2_session* session_ = nullptr;
  /// The only stream; zero before it is opened.
  int32_t stream_ = 0;
  size_t header_bytes_ = 0;
  bool headers_ended_ = false;
  bool close_when_written_ = false;
  std::string write_buffer_;
  size_t write_offset_ = 0;
  MonoTime last_received_;
  MonoTime last_ping_;
  uint64_t wire_bytes_sent_ = 0;
  uint64_t wire_bytes_received_ = 0;
  std::string close_reason_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_HTTP2_SOCKET_H_
