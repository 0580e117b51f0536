#ifndef CAMPHORSAIL_PEER_INBOUND_CONNECTION_H_
#define CAMPHORSAIL_PEER_INBOUND_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/peer/http2_socket.h"
#include "camphorsail/peer/peer_frame_reader.h"
#include "camphorsail/peer/peer_message.h"
#include "camphorsail/peer/peer_proof.h"

namespace camphorsail {

/// A connection accepted from a VM that claims to be a peer. Proves to the
/// remote end that this VM knows the shared secret, verifies the remote end's
/// proof, and then passes its messages to the handler. Used only on the
/// transport's thread.
class InboundConnection {
 public:
  struct Hooks {
    /// True when `from` is a peer that may connect from this socket's address.
    std::function<bool(const VmId& from)> is_allowed;
    std::function<void(const VmId& from)> on_authenticated;
    std::function<void(const VmId& from, PeerMessage)> on_message;
  };

  /// @param secret Must outlive the connection.
  InboundConnection(int fd,
                    VmId own_vm,
                    std::string_view secret,
                    size_t max_message_bytes,
                    Hooks hooks,
                    MonoTime now);

  Http2Socket& socket() { return socket_; }
  bool authenticated() const { return authenticated_; }
  /// @return The id that the remote end claims. It is verified once
  /// `authenticated` returns true.
  const VmId& from() const { return handshake_.from; }
  MonoTime created() const { return created_; }
  /// @return Why the request or a frame was refused; empty when none was.
  const std::string& refusal() const { return refusal_; }

 private:
  bool OnHeader(std::string_view name, std::string_view value);
  bool OnHeadersEnd();
  bool OnData(std::string_view bytes);
  bool RefuseRequest(const char* status, std::string reason);

  const VmId own_vm_;
  const std::string_view secret_;
  const Hooks hooks_;
  const MonoTime created_;
  PeerHandshake handshake_;
  std::string path_;
  /// The bytes of the client's proof received so far.
  std::string proof_;
  bool authenticated_ = false;
  bool answered_ = false;
  std::string refusal_;
  PeerFrameReader reader_;
  Http2Socket socket_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_INBOUND_CONNECTION_H_
