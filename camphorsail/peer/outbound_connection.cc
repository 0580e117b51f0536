#include "camphorsail/peer/outbound_connection.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "absl/strings/escaping.h"
#include "camphorsail/peer/peer_frame.h"
#include "camphorsail/peer/peer_protocol.h"

namespace camphorsail {

OutboundConnection::OutboundConnection(int fd,
                                       VmId from,
                                       VmId to,
                                       std::string_view secret,
                                       Hooks hooks,
                                       MonoTime now)
    : secret_(secret),
      hooks_(std::move(hooks)),
      created_(now),
      handshake_{std::move(from), std::move(to), MakePeerNonce(), {}},
      socket_(fd,
              Http2Socket::Side::kClient,
              {[this](std::string_view name, std::string_view value) {
                 return OnHeader(name, value);
               },
               [this] { return OnHeadersEnd(); },
               // The server sends nothing after its headers.
               [](std::string_view) { return false; },
               [this](uint8_t* buffer, size_t capacity) {
                 return Fill(buffer, capacity);
               }},
              now) {}

bool OutboundConnection::Start() {
  return !handshake_.client_nonce.empty() &&
         socket_.SubmitRequest(
             {{":method", "POST"},
              {":scheme", "http"},
              {":path", std::string(kPeerPath)},
              {":authority", handshake_.to.value()},
              {std::string(kPeerFromHeader), handshake_.from.value()},
              {std::string(kPeerToHeader), handshake_.to.value()},
              {std::string(kPeerNonceHeader), handshake_.client_nonce}});
}

bool OutboundConnection::OnHeader(std::string_view name,
                                  std::string_view value) {
  if (name == ":status") {
    status_ = value;
  } else if (name == kPeerNonceHeader) {
    handshake_.server_nonce = value;
  } else if (name == kPeerProofHeader) {
    server_proof_ = value;
  }
  return true;
}

bool OutboundConnection::OnHeadersEnd() {
  const std::string expected = absl::BytesToHexString(
      ComputePeerProof(secret_, PeerProofSide::kServer, handshake_));
  if (status_ != "200") {
    refusal_ = "expected status 200, got " + status_;
    return false;
  }
  if (!ConstantTimeEquals(server_proof_, expected)) {
    refusal_ = "the proof of the shared secret does not match";
    return false;
  }
  send_buffer_ = ComputePeerProof(secret_, PeerProofSide::kClient, handshake_);
  ready_ = true;
  hooks_.on_ready();
  socket_.ResumeData();
  return true;
}

size_t OutboundConnection::Fill(uint8_t* buffer, size_t capacity) {
  size_t filled = 0;
  while (ready_ && filled < capacity) {
    if (send_offset_ == send_buffer_.size()) {
      PeerMessage message;
      if (!hooks_.next_message(&message)) {
        break;
      }
      send_buffer_ = EncodePeerFrame(message);
      send_offset_ = 0;
    }
    const size_t size =
        std::min(capacity - filled, send_buffer_.size() - send_offset_);
    std::memcpy(buffer + filled, send_buffer_.data() + send_offset_, size);
    filled += size;
    send_offset_ += size;
  }
  return filled;
}

}  // namespace camphorsail
