#ifndef CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_
#define CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/byte_account.h"
#include "camphorsail/gateway/caller_budget.h"
#include "camphorsail/gateway/caller_handlers.h"
#include "camphorsail/gateway/http_parse.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/net/tcp_socket.h"
#include "camphorsail/routing/caller_limits.h"

namespace camphorsail {

/// HTTP/1.1 connection of one caller. Reads one request at a time and writes
/// its answer. When an answer is aborted, the connection ends without the final
/// chunk or with a reset, so that the answer does not look complete. Owned by a
/// `CallerListener`. Not thread-safe; used on the event loop's thread only.
class CallerConnection {
 public:
  /// @param fd Socket; the connection takes ownership of it.
  /// @param limits Called when a request begins, so that kept connections
  /// follow a change; must outlive the connection.
  /// @param budget Must outlive the connection.
  /// @param answers Counts the bytes that the caller has not taken; must
  /// outlive the connection.
  /// @param handlers Must outlive the connection.
  CallerConnection(int fd,
                   EventLoop* loop,
                   const std::function<CallerLimits()>* limits,
                   CallerBudget* budget,
                   ByteAccount* answers,
                   const CallerHandlers* handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Sends a complete answer to the request in progress.
  /// @param headers Without `Content-Length`, `Transfer-Encoding` and
  /// `Connection`.
  void SendComplete(int status,
                    const HttpHeaders& headers,
                    std::string_view body);
  /// Begins a streamed answer.
  /// @param headers As for `SendComplete`.
  void SendHead(int status, const HttpHeaders& headers);
  /// Sends a part of a streamed answer's body.
  void SendData(std::string_view data);
  /// Completes a streamed answer.
  void SendEnd();
  /// Closes the connection at once; an answer in progress is truncated.
  void Abort();

  /// Closes the connection after the answer in progress, or now when there is
  /// no request in progress.
  void CloseWhenIdle();
  /// Closes the connection after the current or next answer. An answer whose
  /// head is not sent yet announces it by `Connection: close`.
  void CloseAfterNextAnswer() { keep_alive_ = false; }
  /// Enforces the timeouts for idle connections and for receiving requests.
  void CheckTimeouts();

  /// @return Bytes of the answer that are not written to the socket yet.
  size_t unsent_bytes() const { return output_.size() - output_offset_; }
  /// @return Bytes of answers that the caller's machine has not taken.
  size_t untaken_bytes() const {
    return unsent_bytes() + (fd_ < 0 ? 0 : UnacknowledgedBytes(fd_));
  }

 private:
  enum class State : uint8_t {
    /// No byte of the next request has arrived.
    kIdle,
    /// A request is being received.
    kReading,
    /// The owner has the request and has not completed the answer.
    kAnswering,
    /// The last answer is complete. Received data is discarded until the caller
    /// has read the answer and closes the connection.
    kLingering,
  };

  static const http_parser_settings& ParserSettings();
  static int OnMessageBegin(http_parser* parser);
  static int OnUrl(http_parser* parser, const char* data, size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, size_t size);
  static int OnMessageComplete(http_parser* parser);

  /// @param bytes All bytes of the current request that are held.
  /// @return False when there is no memory for them.
  bool ReserveBytes(size_t bytes);
  /// Makes room for `size` more bytes of the body.
  /// @return As `ReserveBytes`.
  bool GrowBody(size_t size);
  /// Releases the memory of the request that was received last.
  void DropRequest();
  /// Counts the bytes that the caller has not taken.
  /// @return False when there is no memory for them.
  bool HoldOutput();
  /// Aborts an answer that the caller does not take, because its memory is
  /// needed for others.
  void GiveUpOutput();
  /// Calls a member function in a later iteration of the event loop, unless the
  /// connection is closed by then.
  void PostCall(void (CallerConnection::*function)());
  void OnEvents(uint32_t events);
  void Read();
  void ParseInput();
  /// Refuses a request that is still being received, because its memory is
  /// needed for others.
  void GiveUpRequest();
  /// Reports an unacceptable request to the owner.
  void Reject(ErrorKind kind);
  void FinishAnswer();
  void Write();
  void UpdateWatch();
  /// Shuts down the sending side and waits for the caller to close.
  void Linger();
  void Close();

  int fd_;
  EventLoop* const loop_;
  const std::function<CallerLimits()>* const current_limits_;
  /// The limits of the current or last request.
  CallerLimits limits_;
  const CallerHandlers* const handlers_;
  /// Bytes of the current request.
  ByteHolder request_bytes_;
  /// Bytes of `output_`, if the caller has not taken them at once.
  ByteHolder answer_bytes_;
  /// Memory of the head of the current request.
  size_t head_bytes_ = 0;
  EventLoop::WatchId watch_ = 0;
  uint32_t watched_events_ = 0;

  State state_ = State::kIdle;
  /// Start of the current state.
  MonoTime state_since_;
  /// Time of the latest data from the caller.
  MonoTime last_received_at_;
  http_parser parser_;
  HeaderCollector collector_;
  HttpRequestHead head_;
  std::string body_;
  /// True when the request being received is not acceptable.
  bool rejected_ = false;
  /// Reason when `rejected_` is true.
  ErrorKind rejection_ = ErrorKind::kInvalidRequest;
  bool head_complete_ = false;
  bool message_complete_ = false;
  /// Received bytes that are not parsed yet.
  std::string input_;

  /// False when the owner wants the connection to end with an answer.
  bool keep_alive_ = true;
  /// False when the connection ends with the current answer.
  bool request_keep_alive_ = true;
  /// The caller supports chunked encoding (HTTP/1.1).
  bool supports_chunked_ = true;
  /// The current answer is sent in chunked encoding.
  bool chunked_ = false;
  bool is_head_request_ = false;
  /// The owner has completed the answer; bytes in `output_` may be unsent.
  bool answer_complete_ = false;
  std::string output_;
  size_t output_offset_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_CONNECTION_H_
