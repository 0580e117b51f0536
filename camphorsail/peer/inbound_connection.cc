#include "camphorsail/peer/inbound_connection.h"

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"
#include "camphorsail/peer/peer_protocol.h"

namespace camphorsail {

InboundConnection::InboundConnection(int fd,
                                     VmId own_vm,
                                     std::string_view secret,
                                     size_t max_message_bytes,
                                     Hooks hooks,
                                     MonoTime now)
    : own_vm_(std::move(own_vm)),
      secret_(secret),
      hooks_(std::move(hooks)),
      created_(now),
      reader_(max_message_bytes,
              [this](PeerMessage message) {
                hooks_.on_message(handshake_.from, std::move(message));
              }),
      socket_(fd,
              Http2Socket::Side::kServer,
              {[this](std::string_view name, std::string_view value) {
                 return OnHeader(name, value);
               },
               [this] { return OnHeadersEnd(); },
               [this](std::string_view bytes) { return OnData(bytes); },
               {}},
              now) {}

bool InboundConnection::OnHeader(std::string_view name,
                                 std::string_view value) {
  if (name == ":path") {
    path_ = value;
  } else if (name == kPeerFromHeader) {
    handshake_.from = VmId(std::string(value));
  } else if (name == kPeerToHeader) {
    handshake_.to = VmId(std::string(value));
  } else if (name == kPeerNonceHeader) {
    handshake_.client_nonce = value;
  }
  return true;
}

bool InboundConnection::OnHeadersEnd() {
  if (path_ != kPeerPath) {
    return RefuseRequest("404", "request for an unknown path");
  }
  if (handshake_.to != own_vm_) {
    return RefuseRequest("421", "request addressed to another VM");
  }
  if (handshake_.client_nonce.size() != 2 * kPeerNonceBytes) {
    return RefuseRequest("400", "the nonce has the wrong length");
  }
  if (!hooks_.is_allowed(handshake_.from)) {
    return RefuseRequest(
        "403", "not a configured peer, or not the address of this peer");
  }
  handshake_.server_nonce = MakePeerNonce();
  if (handshake_.server_nonce.empty()) {
    return RefuseRequest("500", "cannot generate a nonce");
  }
  answered_ = true;
  const std::string proof =
      ComputePeerProof(secret_, PeerProofSide::kServer, handshake_);
  return socket_.SubmitResponse(
      {{":status", "200"},
       {std::string(kPeerNonceHeader), handshake_.server_nonce},
       {std::string(kPeerProofHeader), absl::BytesToHexString(proof)}},
      /*end=*/false);
}

bool InboundConnection::OnData(std::string_view bytes) {
  if (!answered_) {
    // The request was refused; its body is ignored.
    return true;
  }
  if (!authenticated_) {
    const size_t taken =
        std::min(kPeerProofBytes - proof_.size(), bytes.size());
    proof_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    if (proof_.size() < kPeerProofBytes) {
      return true;
    }
    const std::string expected =
        ComputePeerProof(secret_, PeerProofSide::kClient, handshake_);
    if (!ConstantTimeEquals(proof_, expected)) {
      refusal_ = "the proof of the shared secret does not match";
      return false;
    }
    authenticated_ = true;
    hooks_.on_authenticated(handshake_.from);
  }
  const Expected<void> fed = reader_.Feed(bytes);
  if (!fed) {
    refusal_ = fed.error().message;
    return false;
  }
  return true;
}

bool InboundConnection::RefuseRequest(const char* status, std::string reason) {
  refusal_ = std::move(reason);
  return socket_.SubmitResponse({{":status", status}}, /*end=*/true);
}

}  // namespace camphorsail
