#ifndef CAMPHORSAIL_PEER_PEER_SEND_RESULT_H_
#define CAMPHORSAIL_PEER_PEER_SEND_RESULT_H_

#include <cstdint>

namespace camphorsail {

/// Result of `PeerTransport::Send`.
enum class PeerSendResult : uint8_t {
  kQueued,
  /// The queue is full and dropping its replaceable messages would not make
  /// enough room.
  kQueueFull,
  kUnknownPeer,
  kTooLarge,
  kStopped,
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_SEND_RESULT_H_
