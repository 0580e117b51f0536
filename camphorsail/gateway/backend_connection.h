#ifndef CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_H_
#define CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/gateway/backend_handlers.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/http/answer_head_validator.h"
#include "camphorsail/net/event_loop.h"

namespace camphorsail {

/// One HTTP/1.1 connection to a backend server, which carries one request at a
/// time. Never sends a request a second time. Unsolicited data from the server
/// ends the connection, so that it cannot be taken for the answer to the next
/// request. Owned by a `BackendConnectionPool`. Not thread-safe; used on the
/// event loop's thread only.
class BackendConnection {
 public:
  /// Callbacks of the owner.
  struct Owner {
    /// The connection is free for another request.
    std::function<void(BackendConnection*)> on_idle;
    /// The connection is closed.
    std::function<void(BackendConnection*)> on_closed;
  };

  /// Starts to connect.
  /// @param source_ip Local address of the connection.
  /// @param owner Must outlive the connection.
  BackendConnection(const std::string& source_ip,
                    const NetworkAddress& address,
                    absl::Duration connect_timeout,
                    EventLoop* loop,
                    const Owner* owner);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  /// Sends a request; the connection must be new or idle.
  /// @param head The request line and the headers, with the empty line.
  /// @param body Must stay valid until the request has ended or is cancelled.
  /// @param is_head True for a HEAD request, whose answer has no body even if
  /// its headers announce one.
  void Start(std::string head,
             std::string_view body,
             bool is_head,
             BackendHandlers handlers);
  /// Ends the request in progress and the connection; no handler is called.
  void Cancel();
  /// Stops or resumes reading from the server, for back pressure when the
  /// caller reads slowly.
  void SetPaused(bool paused);

  /// @return Time at which the connection became idle.
  MonoTime idle_since() const { return idle_since_; }
  /// @return Time for which the server keeps an idle connection open, from its
  /// `Keep-Alive` header; infinite when the server does not state it.
  absl::Duration keep_alive() const { return keep_alive_; }

 private:
  static const http_parser_settings& ParserSettings();
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);

  void OnEvents(uint32_t events);
  void OnConnected();
  void Read();
  void Parse(const char* data, size_t size);
  /// @return True while a part of the request is not written.
  bool HasOutput() const { return written_ < head_.size() + body_.size(); }
  /// Sends as much of the request as the socket takes.
  /// @return As `sendmsg`.
  ssize_t SendOutput();
  void DropOutput();
  void Write();
  void StartWatching(uint32_t events);
  void UpdateWatch();
  void Finish();
  void Fail(BackendFailure failure);
  void Close();

  int fd_ = -1;
  EventLoop* const loop_;
  const Owner* const owner_;
  /// Zero while the connection has failed and is paused.
  EventLoop::WatchId watch_ = 0;
  uint32_t watched_events_ = 0;
  EventLoop::TimerId connect_timer_;
  bool connecting_ = true;

  /// A request is in progress.
  bool request_in_progress_ = false;
  BackendHandlers handlers_;
  std::string head_;
  std::string_view body_;
  /// Bytes of `head_` and then of `body_` that are written.
  size_t written_ = 0;
  /// Error number of the write that failed; 0 when none has.
  int write_error_ = 0;
  /// At least a part of the request may have reached the server.
  bool sent_ = false;
  bool is_head_ = false;
  bool paused_ = false;

  http_parser parser_;
  /// Checks the answer before the parser reads it.
  AnswerHeadValidator head_validator_;
  HeaderCollector collector_;
  /// Body bytes of the current read. They are passed on together, because a
  /// server decides how many chunks they are divided into.
  std::string body_piece_;
  /// Interim (1xx) answers to the request so far.
  int interim_answers_ = 0;
  /// The head of the final (not interim) answer has arrived.
  bool final_head_received_ = false;
  bool message_complete_ = false;
  /// The connection may carry another request after this answer.
  bool reusable_ = false;
  MonoTime idle_since_;
  absl::Duration keep_alive_ = absl::InfiniteDuration();
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_BACKEND_CONNECTION_H_
