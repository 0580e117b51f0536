#ifndef CAMPHORSAIL_PEER_PEER_FRAME_H_
#define CAMPHORSAIL_PEER_PEER_FRAME_H_

#include <cstddef>
#include <string>

#include "camphorsail/base/error.h"
#include "camphorsail/peer/peer_message.h"

namespace camphorsail {

/// Bytes of a frame's length field (big-endian).
constexpr size_t kPeerFrameLengthBytes = 4;
/// Upper bound of the size of a frame's body without the payload: the
/// MessagePack array with the channel and the timestamp.
constexpr size_t kPeerFrameOverheadBytes = 32;

/// @return The encoded frame of a message: the length of the body, then the
/// body as a MessagePack array [channel, wall_micros, counter, payload].
std::string EncodePeerFrame(const PeerMessage& message);

/// @param body A frame without its length field.
/// @return The message. `channel` may be a value that this release does not
/// know. Error: `kProtocolError`.
Expected<PeerMessage> DecodePeerFrameBody(const std::string& body);

/// @return True when this release defines the channel.
bool IsKnownChannel(PeerChannel channel);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_FRAME_H_
