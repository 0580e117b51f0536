#ifndef CAMPHORSAIL_PEER_PEER_PROTOCOL_H_
#define CAMPHORSAIL_PEER_PEER_PROTOCOL_H_

#include <string_view>

namespace camphorsail {

/// Request path of the only stream of a connection between daemons.
constexpr std::string_view kPeerPath = "/peer/v1/messages";
/// Request headers: the ids of the sending and of the receiving VM.
constexpr std::string_view kPeerFromHeader = "x-camphorsail-from";
constexpr std::string_view kPeerToHeader = "x-camphorsail-to";
/// Request and response header: the nonce of the client or of the server.
constexpr std::string_view kPeerNonceHeader = "x-camphorsail-nonce";
/// Response header: the server's proof in hexadecimal. The client's proof is
/// the first `kPeerProofBytes` bytes of the request's body, before the frames.
constexpr std::string_view kPeerProofHeader = "x-camphorsail-proof";

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_PROTOCOL_H_
