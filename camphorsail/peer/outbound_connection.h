#ifndef CAMPHORSAIL_PEER_OUTBOUND_CONNECTION_H_
#define CAMPHORSAIL_PEER_OUTBOUND_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/peer/http2_socket.h"
#include "camphorsail/peer/peer_message.h"
#include "camphorsail/peer/peer_proof.h"

namespace camphorsail {

/// The connection on which this VM sends its messages to one peer. Opens the
/// stream, verifies the peer's proof, sends this VM's proof and then takes
/// messages from the queue as fast as the socket accepts them. Used only on the
/// transport's thread.
class OutboundConnection {
 public:
  struct Hooks {
    /// Removes the next message from the queue and sets its timestamp. Returns
    /// false when the queue is empty.
    std::function<bool(PeerMessage*)> next_message;
    /// The peer's proof is verified; messages can be sent.
    std::function<void()> on_ready;
  };

  /// @param fd A non-blocking socket that is connecting to the peer.
  /// @param secret Must outlive the connection.
  OutboundConnection(int fd,
                     VmId from,
                     VmId to,
                     std::string_view secret,
                     Hooks hooks,
                     MonoTime now);

  /// Opens the stream. @return False when no nonce could be generated or the
  /// request could not be submitted.
  bool Start();
  Http2Socket& socket() { return socket_; }
  /// @return True once the peer's proof is verified.
  bool ready() const { return ready_; }
  /// @return True when part of the proof or of a frame is not yet passed to the
  /// HTTP/2 session.
  bool HasPartialFrame() const { return send_offset_ < send_buffer_.size(); }
  MonoTime created() const { return created_; }
  /// @return Why the peer's answer was refused; empty when it was not.
  const std::string& refusal() const { return refusal_; }

 private:
  bool OnHeader(std::string_view name, std::string_view value);
  bool OnHeadersEnd();
  size_t Fill(uint8_t* buffer, size_t capacity);

  const std::string_view secret_;
  const Hooks hooks_;
  const MonoTime created_;
  PeerHandshake handshake_;
  std::string status_;
  std::string server_proof_;
  bool ready_ = false;
  std::string refusal_;
  /// The proof or the frame that is being passed to the session, from
  /// `send_offset_`.
  std::string send_buffer_;
  size_t send_offset_ = 0;
  Http2Socket socket_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_OUTBOUND_CONNECTION_H_
