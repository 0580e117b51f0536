#ifndef CAMPHORSAIL_PEER_PEER_FRAME_READER_H_
#define CAMPHORSAIL_PEER_PEER_FRAME_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/peer/peer_message.h"

namespace camphorsail {

/// Splits the byte stream of one connection into messages. Buffers at most one
/// frame, and checks the length field of a frame before it stores any of the
/// body. Used by one thread.
class PeerFrameReader {
 public:
  using Handler = std::function<void(PeerMessage)>;

  /// @param max_message_bytes Largest payload.
  PeerFrameReader(size_t max_message_bytes, Handler handler);

  /// @param bytes The next bytes of the stream.
  /// @return Success, or `kProtocolError` for an oversized or malformed frame;
  /// the connection must then be closed.
  Expected<void> Feed(std::string_view bytes);

 private:
  const size_t max_body_bytes_;
  const Handler handler_;
  /// The length field while it is incomplete, then the body.
  std::string buffer_;
  /// Size of the body; zero while the length field is incomplete.
  size_t body_bytes_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_FRAME_READER_H_
