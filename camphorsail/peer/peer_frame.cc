#include "camphorsail/peer/peer_frame.h"

#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <tuple>

namespace camphorsail {
namespace {

using FrameBody =
    std::tuple<uint8_t, int64_t, uint32_t, msgpack::type::raw_ref>;

}  // namespace

std::string EncodePeerFrame(const PeerMessage& message) {
  msgpack::sbuffer body(message.payload.size() + kPeerFrameOverheadBytes);
  msgpack::pack(body,
                FrameBody(static_cast<uint8_t>(message.channel),
                          message.sent_at.wall_micros, message.sent_at.counter,
                          msgpack::type::raw_ref(
                              message.payload.data(),
                              static_cast<uint32_t>(message.payload.size()))));
  std::string frame;
  frame.reserve(kPeerFrameLengthBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>((body.size() >> shift) & 0xff);
  }
  frame.append(body.data(), body.size());
  return frame;
}

Expected<PeerMessage> DecodePeerFrameBody(const std::string& body) {
  try {
    // Allows one array of 4 elements without nesting, strings and binaries up
    // to the body's size, and no maps or extensions. The payload is referenced,
    // not copied, until it is stored in the message.
    const msgpack::unpack_limit limit(4, 0, body.size(), body.size(), 0, 1);
    const msgpack::object_handle handle = msgpack::unpack(
        body.data(), body.size(),
        [](msgpack::type::object_type, std::size_t, void*) { return true; },
        nullptr, limit);
    const auto [channel, wall_micros, counter, payload] =
        handle.get().as<FrameBody>();
    PeerMessage message;
    message.channel = static_cast<PeerChannel>(channel);
    message.sent_at = {wall_micros, counter};
    message.payload.assign(payload.ptr, payload.size);
    return message;
  } catch (const std::exception&) {
    return Fail(ErrorKind::kProtocolError, "malformed peer message");
  }
}

bool IsKnownChannel(PeerChannel channel) {
  return channel >= PeerChannel::kConsensus &&
         channel <= PeerChannel::kUsage;
}

}  // namespace camphorsail
