#include "camphorsail/http/server_stream.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/http/stream_server.h"

namespace camphorsail {

ServerStream::ServerStream(StreamServer* server,
                           MHD_Connection* connection,
                           int fd)
    : server_(server), fd_(fd), connection_(connection) {}

void ServerStream::ResumeLocked() {
  if (suspended_ && connection_ != nullptr) {
    suspended_ = false;
    MHD_resume_connection(connection_);
  }
}

void ServerStream::SuspendLocked() {
  suspended_ = true;
  MHD_suspend_connection(connection_);
}

void ServerStream::Start(HttpResponse head, bool streamed) {
  absl::MutexLock lock(&mutex_);
  if (started_) {
    return;
  }
  head_ = std::move(head);
  head_.body.clear();
  started_ = true;
  streamed_ = streamed;
}

void ServerStream::Write(std::string_view data) {
  absl::MutexLock lock(&mutex_);
  if (ended_ || aborted_ || connection_ == nullptr) {
    return;
  }
  buffer_.append(data);
  if (streamed_) {
    ResumeLocked();
  }
}

void ServerStream::End() {
  absl::MutexLock lock(&mutex_);
  ended_ = true;
  if (awaiting_body_ && !aborted_ && connection_ != nullptr) {
    AnswerBeforeBodyLocked();
  }
  ResumeLocked();
}

void ServerStream::Abort() {
  absl::MutexLock lock(&mutex_);
  aborted_ = true;
  ResumeLocked();
}

void ServerStream::Respond(const HttpResponse& response) {
  Start(response, false);
  Write(response.body);
  End();
}

void ServerStream::AnswerBeforeBodyLocked() {
  aborted_ = true;
  // libmicrohttpd accepts no answer while a body is arriving, so the answer is
  // written directly to the socket. The library has not written anything for
  // this request yet.
  std::string text = absl::StrCat(
      "HTTP/1.1 ", head_.status, " ", MHD_get_reason_phrase_for(head_.status),
      "\r\nConnection: close\r\nContent-Type: ", head_.content_type, "\r\n");
  for (const auto& [name, value] : head_.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", buffer_.size(), "\r\n\r\n",
                  buffer_);
  // An error answer fits into the connection's empty send buffer. If it does
  // not fit, because the client does not read earlier answers, the rest of it
  // is lost.
  (void)!send(fd_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  (void)shutdown(fd_, SHUT_RDWR);
}

}  // namespace camphorsail
