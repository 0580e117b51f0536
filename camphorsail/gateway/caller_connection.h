#ifndef CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_
#define CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/caller_budget.h"
#include "camphorsail/gateway/caller_handlers.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/routing/caller_limits.h"

namespace camphorsail {

/// One caller's HTTP/1.1 connection: reads requests one at a time and writes
/// their answers. An answer that is cut ends the connection without the end of
/// its framing, so that it does not look complete. Owned by a `CallerListener`;
/// belongs to the loop's thread.
class CallerConnection {
 public:
  /// @param fd Owned by the connection from now on.
  /// @param handlers Outlive the connection.
  CallerConnection(int fd,
                   EventLoop* loop,
                   const CallerLimits& limits,
                   CallerBudget* budget,
                   const CallerHandlers* handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Sends a whole answer to the request in progress.
  /// @param headers Without those of the framing.
  void SendWhole(int status, const HttpHeaders& headers, std::string_view body);
  /// Begins a streamed answer.
  void SendHead(int status, const HttpHeaders& headers);
  void SendData(std::string_view data);
  /// Ends a streamed answer as complete.
  void SendEnd();
  /// Ends the connection at once, and with it an answer that is not complete.
  void Abort();

  /// The connection ends with the present answer, or now when there is none.
  void CloseWhenIdle();
  /// Has the answers from now on announce the end of the connection.
  void SetLastRequest() { keep_alive_ = false; }
  /// Closes the connection when the caller takes too long.
  void CheckTimeouts();

  /// @return Bytes of the answer that the network has not taken yet.
  size_t unsent_bytes() const { return out_.size() - out_offset_; }

 private:
  enum class State : uint8_t {
    /// No byte of a next request has arrived.
    kIdle,
    kReading,
    /// The owner has the request.
    kAnswering,
    /// The answer is complete; what the caller still sends is dropped until it
    /// has read the answer.
    kLingering,
  };

  static const http_parser_settings& ParserSettings();
  static int OnMessageBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);

  /// @return False when the listener's callers hold too much already.
  bool Hold(size_t bytes);
  /// Gives back what the present request holds.
  void ReleaseHeld();
  void OnEvents(uint32_t events);
  void Read();
  void ParseInput();
  void Reject(ErrorKind kind);
  void FinishAnswer();
  void Write();
  void UpdateWatch();
  void Linger();
  void Close();

  int fd_;
  EventLoop* const loop_;
  const CallerLimits limits_;
  CallerBudget* const budget_;
  const CallerHandlers* const handlers_;
  /// Bytes of the present request that are counted in the budget.
  size_t held_bytes_ = 0;
  EventLoop::WatchId watch_ = 0;
  uint32_t watched_events_ = 0;

  State state_ = State::kIdle;
  /// Start of the present state, and the last byte from the caller.
  MonoTime state_since_;
  MonoTime heard_at_;
  http_parser parser_;
  HeaderCollector collector_;
  HttpRequestHead head_;
  std::string body_;
  /// Why the request being read is not acceptable.
  bool rejected_ = false;
  ErrorKind rejection_ = ErrorKind::kInvalidRequest;
  bool head_complete_ = false;
  bool message_complete_ = false;
  /// Bytes received and not parsed yet.
  std::string in_;

  bool keep_alive_ = true;
  bool request_keep_alive_ = true;
  bool takes_chunks_ = true;
  bool chunked_ = false;
  bool is_head_request_ = false;
  /// The answer is complete but for bytes in `out_`.
  bool answer_complete_ = false;
  std::string out_;
  size_t out_offset_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_
