#include "camphorsail/peer/http2_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "camphorsail/net/tcp_socket.h"

namespace camphorsail {
namespace {

/// Limits how many bytes an unauthenticated client can make this process store.
/// The largest valid header block of either side has about 300 bytes.
constexpr size_t kMaxHeaderBytes = 4096;
/// Receive window of a connection: the bandwidth-delay product for 25 MB/s and
/// 10 ms between regions.
constexpr int32_t kWindowBytes = 256 << 10;
constexpr size_t kReadBytes = 64 << 10;
/// Maximum number of reads per readiness event, so that one connection does not
/// delay the others.
constexpr int kReadsPerEvent = 4;
/// Bytes taken from the session per write call.
constexpr size_t kWriteBytes = 64 << 10;

std::vector<nghttp2_nv> ToNameValues(const Http2Socket::Headers& headers) {
  std::vector<nghttp2_nv> result;
  result.reserve(headers.size());
  for (const auto& [name, value] : headers) {
    // nghttp2 copies both and does not modify them.
    auto* name_bytes =
        reinterpret_cast<uint8_t*>(const_cast<char*>(name.data()));
    auto* value_bytes =
        reinterpret_cast<uint8_t*>(const_cast<char*>(value.data()));
    result.push_back({name_bytes, value_bytes, name.size(), value.size(),
                      NGHTTP2_NV_FLAG_NONE});
  }
  return result;
}

}  // namespace

Http2Socket::Http2Socket(int fd, Side side, Hooks hooks, MonoTime now)
    : fd_(fd), hooks_(std::move(hooks)), last_received_(now), last_ping_(now) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  if (side == Side::kClient) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const std::array<nghttp2_settings_entry, 4> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, kMaxHeaderBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
}

Http2Socket::~Http2Socket() {
  nghttp2_session_del(session_);
  close(fd_);
}

bool Http2Socket::SubmitRequest(const Headers& headers) {
  const std::vector<nghttp2_nv> values = ToNameValues(headers);
  nghttp2_data_provider provider = {};
  provider.read_callback = FillData;
  stream_ = nghttp2_submit_request(session_, nullptr, values.data(),
                                   values.size(), &provider, nullptr);
  return stream_ > 0;
}

bool Http2Socket::SubmitResponse(const Headers& headers, bool end) {
  const std::vector<nghttp2_nv> values = ToNameValues(headers);
  nghttp2_data_provider provider = {};
  provider.read_callback = FillData;
  close_when_written_ = end;
  return nghttp2_submit_response(session_, stream_, values.data(),
                                 values.size(), end ? nullptr : &provider) == 0;
}

void Http2Socket::ResumeData() {
  // Returns an error when the data is not deferred; there is nothing to resume
  // then.
  nghttp2_session_resume_data(session_, stream_);
}

bool Http2Socket::Read(MonoTime now) {
  std::array<uint8_t, kReadBytes> buffer;
  for (int i = 0; i < kReadsPerEvent; ++i) {
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        return true;
      }
      RecordCloseReason(absl::StrCat("receive: ", std::strerror(errno)));
      return false;
    }
    if (size == 0) {
      RecordCloseReason("connection closed by the remote end");
      return false;
    }
    last_received_ = now;
    wire_bytes_received_ += static_cast<uint64_t>(size);
    const ssize_t used = nghttp2_session_mem_recv(session_, buffer.data(),
                                                  static_cast<size_t>(size));
    if (used < 0) {
      RecordCloseReason(nghttp2_strerror(static_cast<int>(used)));
      return false;
    }
    if (nghttp2_session_want_read(session_) == 0 &&
        nghttp2_session_want_write(session_) == 0) {
      RecordCloseReason("HTTP/2 session ended");
      return false;
    }
    if (static_cast<size_t>(size) < buffer.size()) {
      return true;
    }
  }
  return true;
}

bool Http2Socket::Write() {
  while (true) {
    while (write_buffer_.size() < kWriteBytes) {
      const uint8_t* bytes = nullptr;
      const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
      if (size < 0) {
        RecordCloseReason(nghttp2_strerror(static_cast<int>(size)));
        return false;
      }
      if (size == 0) {
        break;
      }
      write_buffer_.append(reinterpret_cast<const char*>(bytes),
                           static_cast<size_t>(size));
    }
    if (write_buffer_.empty()) {
      break;
    }
    const ssize_t sent =
        send(fd_, write_buffer_.data() + write_offset_,
             write_buffer_.size() - write_offset_, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EAGAIN || errno == EINTR) {
        return true;
      }
      RecordCloseReason(absl::StrCat("send: ", std::strerror(errno)));
      return false;
    }
    wire_bytes_sent_ += static_cast<uint64_t>(sent);
    write_offset_ += static_cast<size_t>(sent);
    if (write_blocked()) {
      return true;
    }
    write_buffer_.clear();
    write_offset_ = 0;
  }
  if (close_when_written_) {
    RecordCloseReason("closed after the error response was sent");
    return false;
  }
  return nghttp2_session_want_read(session_) != 0 ||
         nghttp2_session_want_write(session_) != 0;
}

bool Http2Socket::CheckLiveness(MonoTime now,
                                absl::Duration ping_interval,
                                absl::Duration idle_timeout) {
  if (now - last_received_ >= idle_timeout) {
    RecordCloseReason("no byte received within the idle timeout");
    return false;
  }
  if (now - std::max(last_received_, last_ping_) >= ping_interval) {
    last_ping_ = now;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  }
  return true;
}

bool Http2Socket::HasUnacknowledgedBytes() const {
  return write_blocked() || UnacknowledgedBytes(fd_) > 0;
}

MonoTime Http2Socket::NextLivenessCheck(absl::Duration ping_interval,
                                        absl::Duration idle_timeout) const {
  return std::min(last_received_ + idle_timeout,
                  std::max(last_received_, last_ping_) + ping_interval);
}

std::pair<uint64_t, uint64_t> Http2Socket::TakeWireBytes() {
  return {std::exchange(wire_bytes_sent_, 0),
          std::exchange(wire_bytes_received_, 0)};
}

int Http2Socket::OnHeader(nghttp2_session* /*session*/,
                          const nghttp2_frame* /*frame*/,
                          const uint8_t* name,
                          size_t name_size,
                          const uint8_t* value,
                          size_t value_size,
                          uint8_t /*flags*/,
                          void* user_data) {
  auto* self = static_cast<Http2Socket*>(user_data);
  self->header_bytes_ += name_size + value_size;
  if (self->header_bytes_ > kMaxHeaderBytes || self->headers_ended_) {
    return self->RecordCloseReason(
        "header block too large, or a second header block");
  }
  const bool accepted = self->hooks_.on_header(
      {reinterpret_cast<const char*>(name), name_size},
      {reinterpret_cast<const char*>(value), value_size});
  return accepted ? 0
                  : self->RecordCloseReason("header rejected by the handler");
}

int Http2Socket::OnFrame(nghttp2_session* /*session*/,
                         const nghttp2_frame* frame,
                         void* user_data) {
  auto* self = static_cast<Http2Socket*>(user_data);
  if (frame->hd.type == NGHTTP2_HEADERS &&
      (frame->hd.flags & NGHTTP2_FLAG_END_HEADERS) != 0) {
    if (self->headers_ended_) {
      return self->RecordCloseReason(
          "expected one header block, got a second one");
    }
    self->headers_ended_ = true;
    self->stream_ = frame->hd.stream_id;
    if (!self->hooks_.on_headers_end()) {
      return self->RecordCloseReason("header block rejected by the handler");
    }
  }
  return 0;
}

int Http2Socket::OnData(nghttp2_session* /*session*/,
                        uint8_t /*flags*/,
                        int32_t /*stream*/,
                        const uint8_t* bytes,
                        size_t size,
                        void* user_data) {
  auto* self = static_cast<Http2Socket*>(user_data);
  const bool accepted =
      self->hooks_.on_data({reinterpret_cast<const char*>(bytes), size});
  return accepted
             ? 0
             : self->RecordCloseReason("stream data rejected by the handler");
}

int Http2Socket::OnStreamClose(nghttp2_session* session,
                               int32_t /*stream*/,
                               uint32_t error_code,
                               void* user_data) {
  auto* self = static_cast<Http2Socket*>(user_data);
  self->RecordCloseReason(
      absl::StrCat("stream closed with HTTP/2 error code ", error_code));
  // The connection carries only this stream, so it ends with it.
  nghttp2_session_terminate_session(session, NGHTTP2_NO_ERROR);
  return 0;
}

ssize_t Http2Socket::FillData(nghttp2_session* /*session*/,
                              int32_t /*stream*/,
                              uint8_t* buffer,
                              size_t capacity,
                              uint32_t* /*flags*/,
                              nghttp2_data_source* /*source*/,
                              void* user_data) {
  auto* self = static_cast<Http2Socket*>(user_data);
  const size_t size =
      self->hooks_.fill ? self->hooks_.fill(buffer, capacity) : 0;
  if (size == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(size);
}

int Http2Socket::RecordCloseReason(std::string reason) {
  if (close_reason_.empty()) {
    close_reason_ = std::move(reason);
  }
  return NGHTTP2_ERR_CALLBACK_FAILURE;
}

}  // namespace camphorsail
