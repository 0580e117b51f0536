#include "camphorsail/control/control_message.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {
namespace {

template <typename T>
Expected<ControlMessage> Unpack(std::string_view bytes) {
  Expected<T> message = UnpackBytes<T>(bytes);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  return ControlMessage(*std::move(message));
}

}  // namespace

std::string EncodeControlMessage(const ControlMessage& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  if (const auto* replica = std::get_if<ReplicaMessage>(&message)) {
    return bytes + replica->Encode();
  }
  std::visit(
      [&bytes]<typename T>(const T& body) {
        if constexpr (!std::is_same_v<T, ReplicaMessage>) {
          bytes += PackBytes(body);
        }
      },
      message);
  return bytes;
}

Expected<ControlMessage> DecodeControlMessage(std::string_view bytes) {
  if (bytes.empty()) {
    return Fail(ErrorKind::kProtocolError,
                "control message is empty; expected a type byte");
  }
  const auto position = static_cast<uint8_t>(bytes.front());
  bytes.remove_prefix(1);
  switch (position) {
    case 0: {
      Expected<ReplicaMessage> message = ReplicaMessage::Decode(bytes);
      if (!message) {
        return tl::unexpected<Error>(message.error());
      }
      return ControlMessage(*std::move(message));
    }
    case 1:
      return Unpack<ForwardedCommand>(bytes);
    case 2:
      return Unpack<ForwardedResult>(bytes);
    case 3:
      return Unpack<ForwardedRead>(bytes);
    case 4:
      return Unpack<ForwardedReadResult>(bytes);
    case 5:
      return Unpack<LimitDemandReport>(bytes);
    case 6:
      return Unpack<LimitGrantBatch>(bytes);
    default:
      return Fail(ErrorKind::kProtocolError,
                  absl::StrCat("unknown control message type ", position));
  }
}

}  // namespace camphorsail
