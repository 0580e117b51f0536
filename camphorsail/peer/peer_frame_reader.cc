#include "camphorsail/peer/peer_frame_reader.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/peer/peer_frame.h"

namespace camphorsail {

PeerFrameReader::PeerFrameReader(size_t max_message_bytes, Handler handler)
    : max_body_bytes_(max_message_bytes + kPeerFrameOverheadBytes),
      handler_(std::move(handler)) {}

Expected<void> PeerFrameReader::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const size_t wanted =
        body_bytes_ == 0 ? kPeerFrameLengthBytes : body_bytes_;
    const size_t taken = std::min(wanted - buffer_.size(), bytes.size());
    buffer_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    if (buffer_.size() < wanted) {
      return {};
    }
    if (body_bytes_ == 0) {
      size_t length = 0;
      for (const char c : buffer_) {
        length = (length << 8) | static_cast<unsigned char>(c);
      }
      if (length == 0 || length > max_body_bytes_) {
        return Fail(ErrorKind::kProtocolError,
                    absl::StrCat("peer frame length: got ", length,
                                 " bytes, expected 1 to ", max_body_bytes_));
      }
      body_bytes_ = length;
      buffer_.clear();
      continue;
    }
    Expected<PeerMessage> message = DecodePeerFrameBody(buffer_);
    buffer_.clear();
    body_bytes_ = 0;
    if (!message) {
      return tl::unexpected<Error>(std::move(message.error()));
    }
    handler_(*std::move(message));
  }
  return {};
}

}  // namespace camphorsail
