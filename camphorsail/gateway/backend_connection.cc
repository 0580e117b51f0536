#include "camphorsail/gateway/backend_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "camphorsail/base/release_memory.h"
#include "camphorsail/net/tcp_socket.h"

namespace camphorsail {
namespace {

/// Time within which the connection detects that the server's VM or the network
/// path to it has failed.
constexpr absl::Duration kPeerFailureTimeout = absl::Seconds(3);
constexpr size_t kReadBytes = 16 * 1024;
/// Reads after which the event loop turns to other connections. A server that
/// sends faster than the gateway reads would otherwise occupy it.
constexpr int kMaxReadsPerEvent = 8;
/// Error of a write to a server that had closed its side of the connection
/// before it reset the other one, so that all that it sent has arrived.
constexpr int kErrorAfterClose = EPIPE;
/// Interim (1xx) answers that one request may get.
constexpr int kMaxInterimAnswers = 16;
/// Statuses of answers that end with their heads, whatever the headers say.
constexpr unsigned int kNoContentStatus = 204;
constexpr unsigned int kNotModifiedStatus = 304;
/// Result of the parser's callback for an answer without a body.
constexpr int kSkipBody = 1;

/// @return Seconds of `timeout=N` in a `Keep-Alive` header.
absl::Duration ParseKeepAlive(const std::string& value) {
  for (const absl::string_view part : absl::StrSplit(value, ',')) {
    const std::pair<absl::string_view, absl::string_view> item = absl::StrSplit(
        absl::StripAsciiWhitespace(part), absl::MaxSplits('=', 1));
    int seconds = 0;
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(item.first),
                               "timeout") &&
        absl::SimpleAtoi(item.second, &seconds) && seconds >= 0) {
      return absl::Seconds(seconds);
    }
  }
  return absl::InfiniteDuration();
}

BackendConnection* Self(http_parser* parser) {
  return static_cast<BackendConnection*>(parser->data);
}

}  // namespace

BackendConnection::BackendConnection(const std::string& source_ip,
                                     const NetworkAddress& address,
                                     absl::Duration connect_timeout,
                                     EventLoop* loop,
                                     const Owner* owner)
    : loop_(loop), owner_(owner) {
  const Expected<int> fd = ConnectTcp(source_ip, address);
  if (!fd) {
    // Reported to the first request in a later iteration of the event loop, as
    // every other failure is.
    connect_timer_ = loop_->RunAt(
        loop_->now(), [this] { Fail(BackendFailure::kNotConnected); });
    return;
  }
  fd_ = *fd;
  EnableKeepalive(fd_, kPeerFailureTimeout);
  StartWatching(EPOLLIN | EPOLLOUT | EPOLLRDHUP);
  connect_timer_ = loop_->RunAt(loop_->now() + connect_timeout, [this] {
    Fail(BackendFailure::kNotConnected);
  });
}

BackendConnection::~BackendConnection() {
  loop_->Cancel(connect_timer_);
  if (fd_ >= 0) {
    loop_->Unwatch(watch_);
    close(fd_);
  }
}

const http_parser_settings& BackendConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings value =
        CollectHeaders<BackendConnection, &BackendConnection::collector_>();
    value.on_headers_complete = &OnHeadersComplete;
    value.on_body = &OnBody;
    value.on_message_complete = &OnMessageComplete;
    return value;
  }();
  return settings;
}

int BackendConnection::OnHeadersComplete(http_parser* parser) {
  BackendConnection* self = Self(parser);
  HttpResponseHead head;
  head.status = parser->status_code;
  head.headers = self->collector_.Take();
  if (head.status < 200) {
    // An interim (1xx) answer.
    return ++self->interim_answers_ > kMaxInterimAnswers ? -1 : 0;
  }
  if (const std::string* value = head.headers.Find("keep-alive")) {
    self->keep_alive_ = ParseKeepAlive(*value);
  }
  self->final_head_received_ = true;
  // Set before the callback, because the callback may end the connection.
  if (!self->handlers_.on_head(std::move(head))) {
    return -1;
  }
  const bool has_no_body = self->is_head_ ||
                           parser->status_code == kNoContentStatus ||
                           parser->status_code == kNotModifiedStatus;
  return has_no_body ? kSkipBody : 0;
}

int BackendConnection::OnBody(http_parser* parser,
                              const char* data,
                              size_t size) {
  BackendConnection* self = Self(parser);
  if (self->final_head_received_) {
    self->body_piece_.append(data, size);
  }
  return 0;
}

int BackendConnection::OnMessageComplete(http_parser* parser) {
  BackendConnection* self = Self(parser);
  if (!self->final_head_received_) {
    // An interim answer; the final one follows.
    return 0;
  }
  self->message_complete_ = true;
  self->reusable_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

void BackendConnection::Start(std::string head,
                              std::string_view body,
                              bool is_head,
                              BackendHandlers handlers) {
  request_in_progress_ = true;
  handlers_ = std::move(handlers);
  head_ = std::move(head);
  body_ = body;
  written_ = 0;
  write_error_ = 0;
  body_piece_.clear();
  sent_ = false;
  is_head_ = is_head;
  paused_ = false;
  interim_answers_ = 0;
  final_head_received_ = false;
  message_complete_ = false;
  reusable_ = false;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  head_validator_ = AnswerHeadValidator();
  ReleaseMemory(&collector_);
  if (!connecting_) {
    Write();
  }
}

void BackendConnection::OnEvents(uint32_t events) {
  if (connecting_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) {
      return;
    }
    OnConnected();
    return;
  }
  if (paused_ && (events & (EPOLLERR | EPOLLHUP)) != 0) {
    // These are reported for as long as the descriptor is watched. What the
    // server sent before is read when the caller has taken its data.
    loop_->Unwatch(std::exchange(watch_, 0));
    return;
  }
  if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0 &&
      !paused_) {
    Read();
  }
  if (fd_ >= 0 && (events & EPOLLOUT) != 0) {
    Write();
  }
}

void BackendConnection::OnConnected() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    Fail(BackendFailure::kNotConnected);
    return;
  }
  connecting_ = false;
  loop_->Cancel(connect_timer_);
  Write();
}

ssize_t BackendConnection::SendOutput() {
  const size_t head_written = std::min(written_, head_.size());
  const size_t body_written = written_ - head_written;
  std::array<iovec, 2> parts = {
      {{head_.data() + head_written, head_.size() - head_written},
       // `sendmsg` does not modify it.
       {const_cast<char*>(body_.data()) + body_written,
        body_.size() - body_written}}};
  msghdr message = {};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return sendmsg(fd_, &message, MSG_NOSIGNAL);
}

void BackendConnection::DropOutput() {
  ReleaseMemory(&head_);
  body_ = {};
  written_ = 0;
}

void BackendConnection::Write() {
  while (fd_ >= 0 && HasOutput()) {
    const ssize_t size = SendOutput();
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0 && errno == EAGAIN) {
      break;
    }
    // After a failed write, an answer may have arrived before the connection
    // was reset. It is read before the failure is reported.
    sent_ = true;
    if (size < 0) {
      write_error_ = errno;
      DropOutput();
      Read();
      return;
    }
    written_ += static_cast<size_t>(size);
  }
  if (!HasOutput()) {
    DropOutput();
  }
  UpdateWatch();
}

void BackendConnection::Read() {
  std::array<char, kReadBytes> buffer;
  // What is left is read with the next event of the loop, which reports it
  // again.
  for (int reads = 0; reads < kMaxReadsPerEvent && fd_ >= 0 && !paused_;
       ++reads) {
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0 && errno == EAGAIN) {
      return;
    }
    if (!request_in_progress_) {
      // The server closed an idle connection or sent unsolicited data.
      Close();
      return;
    }
    if (size < 0) {
      Fail(BackendFailure::kBroken);
      return;
    }
    if (size == 0) {
      // The socket reports the error of a reset only once, and a failed write
      // may have taken it. The end that is read then is not the server's.
      if (write_error_ != 0 && write_error_ != kErrorAfterClose) {
        Fail(BackendFailure::kBroken);
        return;
      }
      // End of the connection. This completes an answer without a length; any
      // other answer is truncated.
      http_parser_execute(&parser_, &ParserSettings(), nullptr, 0);
      if (request_in_progress_ && message_complete_) {
        reusable_ = false;
        Finish();
      } else if (fd_ >= 0) {
        Fail(BackendFailure::kBroken);
      }
      return;
    }
    Parse(buffer.data(), static_cast<size_t>(size));
    if (static_cast<size_t>(size) < buffer.size()) {
      return;
    }
  }
}

void BackendConnection::Parse(const char* data, size_t size) {
  if (!head_validator_.Append({data, size})) {
    Fail(BackendFailure::kProtocol);
    return;
  }
  const size_t parsed =
      http_parser_execute(&parser_, &ParserSettings(), data, size);
  const std::string piece = std::exchange(body_piece_, {});
  if (request_in_progress_ && !piece.empty()) {
    handlers_.on_data(piece);
  }
  if (!request_in_progress_ || fd_ < 0) {
    // A handler has cancelled the request.
    return;
  }
  if (message_complete_) {
    if (parsed < size || HasOutput()) {
      reusable_ = false;
    }
    Finish();
    return;
  }
  if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0) {
    Fail(BackendFailure::kProtocol);
  }
}

void BackendConnection::Finish() {
  request_in_progress_ = false;
  DropOutput();
  const BackendHandlers handlers = std::exchange(handlers_, {});
  if (!reusable_) {
    Close();
  } else {
    idle_since_ = loop_->now();
    paused_ = false;
    UpdateWatch();
    owner_->on_idle(this);
  }
  handlers.on_end();
}

void BackendConnection::Fail(BackendFailure failure) {
  const bool was_busy = std::exchange(request_in_progress_, false);
  const BackendHandlers handlers = std::exchange(handlers_, {});
  const bool sent = sent_;
  Close();
  if (was_busy) {
    handlers.on_failure(failure, sent);
  }
}

void BackendConnection::Cancel() {
  request_in_progress_ = false;
  Close();
}

void BackendConnection::SetPaused(bool paused) {
  if (paused_ == paused || fd_ < 0 || !request_in_progress_) {
    return;
  }
  paused_ = paused;
  UpdateWatch();
}

void BackendConnection::StartWatching(uint32_t events) {
  watched_events_ = events;
  watch_ = loop_->Watch(
      fd_, events, [this](uint32_t ready) { OnEvents(ready); },
      LoopSource::kBackend);
}

void BackendConnection::UpdateWatch() {
  if (fd_ < 0) {
    return;
  }
  uint32_t events = paused_ ? 0U : EPOLLIN | EPOLLRDHUP;
  if (connecting_ || HasOutput()) {
    events |= EPOLLOUT;
  }
  if (watch_ == 0) {
    if (!paused_) {
      StartWatching(events);
    }
    return;
  }
  if (events != watched_events_) {
    watched_events_ = events;
    loop_->ChangeEvents(watch_, events);
  }
}

void BackendConnection::Close() {
  DropOutput();
  loop_->Cancel(connect_timer_);
  if (fd_ >= 0) {
    loop_->Unwatch(watch_);
    close(std::exchange(fd_, -1));
  }
  owner_->on_closed(this);
}

}  // namespace camphorsail
