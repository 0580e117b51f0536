#include "camphorsail/gateway/caller_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/base/release_memory.h"
#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Time within which the connection detects that the caller's machine or the
/// network path to it has failed.
constexpr absl::Duration kPeerFailureTimeout = absl::Seconds(4);
/// Maximum time for a caller to read the last answer of a connection and close
/// it.
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);
constexpr size_t kReadBytes = 16 * 1024;
/// Memory for output that a connection keeps between two answers.
constexpr size_t kKeptOutputBytes = 64 * 1024;
/// Reads after which the event loop turns to other connections.
constexpr int kMaxReadsPerEvent = 8;

std::string_view ReasonPhrase(int status) {
  switch (status) {
#define CAMPHORSAIL_REASON(number, name, text) \
  case number:                                 \
    return #text;
    HTTP_STATUS_MAP(CAMPHORSAIL_REASON)
#undef CAMPHORSAIL_REASON
    default:
      return "Unknown";
  }
}

CallerConnection* Self(http_parser* parser) {
  return static_cast<CallerConnection*>(parser->data);
}

}  // namespace

CallerConnection::CallerConnection(int fd,
                                   EventLoop* loop,
                                   const std::function<CallerLimits()>* limits,
                                   CallerBudget* budget,
                                   ByteAccount* answers,
                                   const CallerHandlers* handlers)
    : fd_(fd),
      loop_(loop),
      current_limits_(limits),
      limits_((*limits)()),
      handlers_(handlers),
      request_bytes_(&budget->requests(),
                     [this] { PostCall(&CallerConnection::GiveUpRequest); }),
      answer_bytes_(answers,
                    [this] { PostCall(&CallerConnection::GiveUpOutput); }),
      state_since_(loop->now()),
      last_received_at_(loop->now()) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  EnableKeepalive(fd_, kPeerFailureTimeout);
  watched_events_ = EPOLLIN | EPOLLRDHUP;
  watch_ = loop_->Watch(
      fd_, watched_events_, [this](uint32_t events) { OnEvents(events); },
      LoopSource::kCaller);
}

CallerConnection::~CallerConnection() {
  if (fd_ >= 0) {
    loop_->Unwatch(watch_);
    close(fd_);
  }
}

bool CallerConnection::ReserveBytes(size_t bytes) {
  return bytes <= request_bytes_.bytes() ||
         request_bytes_.Charge(bytes, loop_->now());
}

bool CallerConnection::GrowBody(size_t size) {
  const size_t needed = body_.size() + size;
  if (needed <= body_.capacity()) {
    return true;
  }
  // Doubled, so that each byte is copied a constant number of times, but never
  // beyond what the request may have.
  const size_t capacity =
      std::max(needed, std::min(2 * body_.capacity(),
                                static_cast<size_t>(limits_.max_body_bytes)));
  if (!ReserveBytes(head_bytes_ + capacity)) {
    return false;
  }
  // `reserve` may make the buffer twice as large as before instead.
  std::string larger;
  larger.reserve(capacity);
  larger.append(body_);
  body_.swap(larger);
  return true;
}

void CallerConnection::DropRequest() {
  ReleaseMemory(&input_);
  ReleaseMemory(&body_);
  ReleaseMemory(&head_);
  ReleaseMemory(&collector_);
  request_bytes_.Release();
}

const http_parser_settings& CallerConnection::ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings value =
        CollectHeaders<CallerConnection, &CallerConnection::collector_>();
    value.on_message_begin = &OnMessageBegin;
    value.on_url = &OnUrl;
    value.on_headers_complete = &OnHeadersComplete;
    value.on_body = &OnBody;
    value.on_message_complete = &OnMessageComplete;
    return value;
  }();
  return settings;
}

int CallerConnection::OnMessageBegin(http_parser* parser) {
  CallerConnection* self = Self(parser);
  self->request_bytes_.Release();
  self->limits_ = (*self->current_limits_)();
  self->head_ = HttpRequestHead();
  // Trailers of the preceding request are dropped.
  ReleaseMemory(&self->collector_);
  self->body_.clear();
  self->rejected_ = false;
  self->head_complete_ = false;
  self->message_complete_ = false;
  return 0;
}

int CallerConnection::OnUrl(http_parser* parser,
                            const char* data,
                            size_t size) {
  Self(parser)->head_.target.append(data, size);
  return 0;
}

int CallerConnection::OnHeadersComplete(http_parser* parser) {
  CallerConnection* self = Self(parser);
  HttpRequestHead& head = self->head_;
  const size_t bytes = self->collector_.bytes() + head.target.size();
  self->head_bytes_ = self->collector_.memory_bytes() + head.target.size();
  head.headers = self->collector_.Take();
  head.method = http_method_str(static_cast<http_method>(parser->method));
  head.minor_version = parser->http_minor;
  head.keep_alive = http_should_keep_alive(parser) != 0;
  self->head_complete_ = true;
  // Upgrades are not supported; the request is handled as an ordinary one.
  parser->upgrade = 0;
  const auto reject = [&](ErrorKind kind) {
    self->rejected_ = true;
    self->rejection_ = kind;
    return -1;
  };
  if (static_cast<int64_t>(bytes) > self->limits_.max_header_bytes) {
    return reject(ErrorKind::kHeadersTooLarge);
  }
  if (!self->ReserveBytes(self->head_bytes_)) {
    return reject(ErrorKind::kOverloaded);
  }
  // A backend server that interprets ambiguous framing differently could find a
  // second request in the body (request smuggling).
  const std::string* encoding = head.headers.Find("transfer-encoding");
  const bool ambiguous =
      head.headers.Count("content-length") +
              head.headers.Count("transfer-encoding") >
          1 ||
      (encoding != nullptr && !absl::EqualsIgnoreCase(*encoding, "chunked"));
  if (ambiguous || parser->method == HTTP_CONNECT || parser->http_major != 1 ||
      head.headers.Count("host") != 1 || !AreHeadersValid(head.headers)) {
    return reject(ErrorKind::kInvalidRequest);
  }
  if (const std::string* length = head.headers.Find("content-length")) {
    int64_t value = 0;
    if (!absl::SimpleAtoi(*length, &value) ||
        !std::all_of(length->begin(), length->end(),
                     [](char c) { return c >= '0' && c <= '9'; })) {
      return reject(ErrorKind::kInvalidRequest);
    }
    if (value > self->limits_.max_body_bytes) {
      return reject(ErrorKind::kBodyTooLarge);
    }
  }
  return 0;
}

int CallerConnection::OnBody(http_parser* parser,
                             const char* data,
                             size_t size) {
  CallerConnection* self = Self(parser);
  if (static_cast<int64_t>(self->body_.size() + size) >
      self->limits_.max_body_bytes) {
    self->rejected_ = true;
    self->rejection_ = ErrorKind::kBodyTooLarge;
    return -1;
  }
  if (!self->GrowBody(size)) {
    self->rejected_ = true;
    self->rejection_ = ErrorKind::kOverloaded;
    return -1;
  }
  self->body_.append(data, size);
  return 0;
}

int CallerConnection::OnMessageComplete(http_parser* parser) {
  Self(parser)->message_complete_ = true;
  // The next request is parsed after this one has been answered.
  http_parser_pause(parser, 1);
  return 0;
}

void CallerConnection::OnEvents(uint32_t events) {
  if ((events & EPOLLOUT) != 0) {
    Write();
    if (fd_ < 0) {
      return;
    }
  }
  const bool hung_up = (events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0;
  if (state_ == State::kAnswering) {
    if (hung_up) {
      // A caller that closes its side of the connection is taken as no longer
      // waiting for the answer.
      handlers_->on_gone(this);
      if (fd_ >= 0) {
        Close();
      }
    }
    return;
  }
  if ((events & EPOLLIN) != 0 || hung_up) {
    Read();
  }
}

void CallerConnection::Read() {
  std::array<char, kReadBytes> buffer;
  // What is left is read with the next event of the loop, which reports it
  // again.
  for (int reads = 0; reads < kMaxReadsPerEvent && fd_ >= 0; ++reads) {
    const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    if (size <= 0) {
      Close();
      return;
    }
    last_received_at_ = loop_->now();
    request_bytes_.OnProgress(last_received_at_);
    if (state_ == State::kLingering) {
      continue;
    }
    input_.append(buffer.data(), static_cast<size_t>(size));
    ParseInput();
    if (state_ == State::kAnswering) {
      return;
    }
    if (static_cast<size_t>(size) < buffer.size()) {
      return;
    }
  }
}

void CallerConnection::ParseInput() {
  if (input_.empty() || state_ == State::kAnswering ||
      state_ == State::kLingering) {
    return;
  }
  if (state_ == State::kIdle) {
    state_ = State::kReading;
    state_since_ = loop_->now();
  }
  const size_t parsed = http_parser_execute(&parser_, &ParserSettings(),
                                            input_.data(), input_.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (message_complete_ && !rejected_) {
    http_parser_pause(&parser_, 0);
    input_.erase(0, parsed);
    message_complete_ = false;
    state_ = State::kAnswering;
    state_since_ = loop_->now();
    answer_complete_ = false;
    request_bytes_.Pin();
    request_keep_alive_ = head_.keep_alive;
    is_head_request_ = head_.method == "HEAD";
    supports_chunked_ = head_.minor_version >= 1;
    chunked_ = false;
    UpdateWatch();
    handlers_->on_request(this, std::move(head_), std::move(body_));
    return;
  }
  if (error != HPE_OK) {
    Reject(rejected_ ? rejection_ : ErrorKind::kInvalidRequest);
    return;
  }
  input_.clear();
  if (head_complete_) {
    return;
  }
  if (static_cast<int64_t>(collector_.bytes() + head_.target.size()) >
      limits_.max_header_bytes + static_cast<int64_t>(kReadBytes)) {
    Reject(ErrorKind::kHeadersTooLarge);
  } else if (!ReserveBytes(collector_.memory_bytes() + head_.target.size())) {
    Reject(ErrorKind::kOverloaded);
  }
}

void CallerConnection::GiveUpRequest() {
  if (state_ == State::kReading) {
    Reject(ErrorKind::kOverloaded);
  }
}

void CallerConnection::PostCall(void (CallerConnection::*function)()) {
  loop_->Post([this, function, watch = watch_, loop = loop_] {
    if (loop->IsWatched(watch)) {
      (this->*function)();
    }
  });
}

void CallerConnection::Reject(ErrorKind kind) {
  // The caller may send on for as long as the connection lingers.
  DropRequest();
  state_ = State::kAnswering;
  answer_complete_ = false;
  request_keep_alive_ = false;
  chunked_ = false;
  is_head_request_ = false;
  handlers_->on_unreceived_request(this, kind);
}

void CallerConnection::SendComplete(int status,
                                    const HttpHeaders& headers,
                                    std::string_view body) {
  if (fd_ < 0 || state_ != State::kAnswering) {
    return;
  }
  const bool keep = keep_alive_ && request_keep_alive_;
  absl::StrAppend(&output_, "HTTP/1.1 ", status, " ",
                  absl::string_view(ReasonPhrase(status).data(),
                                    ReasonPhrase(status).size()),
                  "\r\n");
  headers.AppendTo(&output_);
  if (status != 204 && status != 304 && status >= 200) {
    absl::StrAppend(&output_, "Content-Length: ", body.size(), "\r\n");
  }
  output_.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
  if (!is_head_request_) {
    output_.reserve(output_.size() + body.size());
    output_.append(body);
  }
  request_keep_alive_ = keep;
  FinishAnswer();
}

void CallerConnection::SendHead(int status, const HttpHeaders& headers) {
  if (fd_ < 0 || state_ != State::kAnswering) {
    return;
  }
  chunked_ = supports_chunked_;
  const bool keep = keep_alive_ && request_keep_alive_ && chunked_;
  request_keep_alive_ = keep;
  absl::StrAppend(&output_, "HTTP/1.1 ", status, " ",
                  absl::string_view(ReasonPhrase(status).data(),
                                    ReasonPhrase(status).size()),
                  "\r\n");
  headers.AppendTo(&output_);
  if (chunked_) {
    output_.append("Transfer-Encoding: chunked\r\n");
  }
  output_.append(keep ? "\r\n" : "Connection: close\r\n\r\n");
}

void CallerConnection::SendData(std::string_view data) {
  if (fd_ < 0 || state_ != State::kAnswering || data.empty()) {
    return;
  }
  if (chunked_) {
    absl::StrAppend(&output_, absl::Hex(data.size()), "\r\n");
  }
  output_.append(data);
  if (chunked_) {
    output_.append("\r\n");
  }
  Write();
}

void CallerConnection::SendEnd() {
  if (fd_ < 0 || state_ != State::kAnswering) {
    return;
  }
  if (chunked_) {
    output_.append("0\r\n\r\n");
  }
  FinishAnswer();
}

void CallerConnection::FinishAnswer() {
  answer_complete_ = true;
  request_bytes_.Release();
  Write();
}

void CallerConnection::Write() {
  while (fd_ >= 0 && output_offset_ < output_.size()) {
    const ssize_t size = send(fd_, output_.data() + output_offset_,
                              output_.size() - output_offset_, MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size < 0 && errno == EAGAIN) {
      if (HoldOutput()) {
        UpdateWatch();
      } else {
        GiveUpOutput();
      }
      return;
    }
    if (size < 0) {
      if (state_ == State::kAnswering && !answer_complete_) {
        handlers_->on_gone(this);
      }
      Close();
      return;
    }
    output_offset_ += static_cast<size_t>(size);
    answer_bytes_.OnProgress(loop_->now());
  }
  if (fd_ < 0) {
    return;
  }
  // An idle connection does not keep the memory of its last answer.
  if (output_.capacity() > kKeptOutputBytes) {
    ReleaseMemory(&output_);
  }
  output_.clear();
  output_offset_ = 0;
  answer_bytes_.Release();
  if (!answer_complete_) {
    UpdateWatch();
    if (state_ == State::kAnswering) {
      handlers_->on_drained(this);
    }
    return;
  }
  if (state_ != State::kAnswering) {
    return;
  }
  // `keep_alive_` may have been cleared after the head of the answer was sent.
  if (!request_keep_alive_ || !keep_alive_) {
    Linger();
    return;
  }
  state_ = State::kIdle;
  state_since_ = loop_->now();
  last_received_at_ = loop_->now();
  answer_complete_ = false;
  UpdateWatch();
  if (!input_.empty()) {
    // A pipelined request. It is parsed in a later iteration of the event loop,
    // so that handling it does not nest within the current answer.
    PostCall(&CallerConnection::ParseInput);
  }
}

bool CallerConnection::HoldOutput() {
  // At most half of the bytes have been written already, so that each byte is
  // moved a constant number of times.
  if (output_offset_ > output_.size() / 2) {
    output_.erase(0, std::exchange(output_offset_, 0));
    if (output_.capacity() > 2 * output_.size() + kKeptOutputBytes) {
      output_.shrink_to_fit();
    }
  }
  return answer_bytes_.Charge(output_.capacity(), loop_->now());
}

void CallerConnection::GiveUpOutput() {
  if (fd_ < 0 || output_offset_ == output_.size()) {
    return;
  }
  LogEvent("answer_not_taken", LogLevel::kWarning).Add("bytes", unsent_bytes());
  if (state_ == State::kAnswering && !answer_complete_) {
    handlers_->on_gone(this);
  }
  Abort();
}

void CallerConnection::UpdateWatch() {
  uint32_t events = EPOLLRDHUP;
  if (state_ != State::kAnswering) {
    events |= EPOLLIN;
  }
  if (output_offset_ < output_.size()) {
    events |= EPOLLOUT;
  }
  if (events != watched_events_) {
    watched_events_ = events;
    loop_->ChangeEvents(watch_, events);
  }
}

void CallerConnection::Linger() {
  // Closing the socket with unread received bytes would reset the connection,
  // and the caller could lose the answer.
  state_ = State::kLingering;
  state_since_ = loop_->now();
  shutdown(fd_, SHUT_WR);
  UpdateWatch();
}

void CallerConnection::Abort() {
  if (fd_ < 0) {
    return;
  }
  if (!chunked_) {
    // The end of the connection would mark an answer without framing as
    // complete. Only a reset shows that it is truncated.
    const linger reset = {1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  Close();
}

void CallerConnection::CloseWhenIdle() {
  keep_alive_ = false;
  if (fd_ >= 0 && state_ == State::kIdle) {
    // A request may have arrived that was not read yet.
    Read();
  }
  if (fd_ >= 0 && state_ == State::kIdle && input_.empty()) {
    Close();
  }
}

void CallerConnection::CheckTimeouts() {
  if (fd_ < 0) {
    return;
  }
  const MonoTime now = loop_->now();
  switch (state_) {
    case State::kIdle:
      if (now - last_received_at_ >=
          absl::Milliseconds(limits_.idle_timeout_ms)) {
        Close();
      }
      return;
    case State::kReading:
      if (!head_complete_ &&
          now - state_since_ >= absl::Milliseconds(limits_.header_timeout_ms)) {
        Reject(ErrorKind::kRequestTimeout);
      } else if (now - last_received_at_ >=
                 absl::Milliseconds(limits_.idle_timeout_ms)) {
        Reject(ErrorKind::kRequestTimeout);
      }
      return;
    case State::kLingering:
      if (now - state_since_ >= kLingerTimeout) {
        Close();
      }
      return;
    case State::kAnswering:
      if (output_offset_ < output_.size() &&
          now - answer_bytes_.progressed_at() >=
              absl::Milliseconds(limits_.idle_timeout_ms)) {
        GiveUpOutput();
      }
      return;
  }
}

void CallerConnection::Close() {
  if (fd_ < 0) {
    return;
  }
  loop_->Unwatch(watch_);
  close(std::exchange(fd_, -1));
  request_bytes_.Release();
  answer_bytes_.Release();
  handlers_->on_closed(this);
}

}  // namespace camphorsail
