#include "camphorsail/peer/peer_proof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>

#include "absl/strings/escaping.h"

namespace camphorsail {
namespace {

/// Appends the size of the field and its bytes, so that different sequences of
/// fields never give the same input.
void AppendField(std::string* input, std::string_view field) {
  const auto size = static_cast<uint32_t>(field.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    *input += static_cast<char>((size >> shift) & 0xff);
  }
  *input += field;
}

}  // namespace

std::string MakePeerNonce() {
  std::array<unsigned char, kPeerNonceBytes> bytes;
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
    return {};
  }
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

std::string ComputePeerProof(std::string_view secret,
                             PeerProofSide side,
                             const PeerHandshake& handshake) {
  std::string input = "camphorsail-peer-1";
  input += side == PeerProofSide::kClient ? 'c' : 's';
  AppendField(&input, handshake.from.value());
  AppendField(&input, handshake.to.value());
  AppendField(&input, handshake.client_nonce);
  AppendField(&input, handshake.server_nonce);
  std::string proof(kPeerProofBytes, '\0');
  unsigned int size = 0;
  const unsigned char* digest =
      HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
           reinterpret_cast<const unsigned char*>(input.data()), input.size(),
           reinterpret_cast<unsigned char*>(proof.data()), &size);
  // HMAC fails only on an internal error of OpenSSL. The process aborts,
  // because the transport must not run without authentication.
  if (digest == nullptr || size != kPeerProofBytes) {
    std::abort();
  }
  return proof;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace camphorsail
