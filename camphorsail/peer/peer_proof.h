#ifndef CAMPHORSAIL_PEER_PEER_PROOF_H_
#define CAMPHORSAIL_PEER_PEER_PROOF_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// The end of a connection that proves its knowledge of the secret. The side is
/// part of the HMAC's input, so that an end's proof cannot be sent back to it
/// as the proof of the other end.
enum class PeerProofSide : uint8_t { kClient, kServer };

/// The values that both ends of a connection exchange and that their proofs
/// cover.
struct PeerHandshake {
  VmId from;
  VmId to;
  std::string client_nonce;
  std::string server_nonce;
};

constexpr size_t kPeerNonceBytes = 16;
constexpr size_t kPeerProofBytes = 32;

/// @return `kPeerNonceBytes` random bytes in lower-case hexadecimal, or an
/// empty string when the random number generator fails.
std::string MakePeerNonce();

/// @return HMAC-SHA256 over the side and the handshake, `kPeerProofBytes` long.
std::string ComputePeerProof(std::string_view secret,
                             PeerProofSide side,
                             const PeerHandshake& handshake);

/// @return True when both are equal. The run time depends only on the sizes, so
/// that it reveals nothing about the contents.
bool ConstantTimeEquals(std::string_view a, std::string_view b);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_PROOF_H_
