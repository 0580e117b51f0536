#include "camphorsail/control/command.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

/// The encoding is an array of four fields: type, proposer, wall clock, body.
constexpr uint32_t kFieldCount = 4;
/// MessagePack header of an array of `kFieldCount` elements.
constexpr char kArrayHeader = static_cast<char>(0x90 | kFieldCount);
/// The type field of a settings change.
constexpr char kSettingsType = 0;

/// Decodes the body as the alternative of `CommandBody` at position `type`.
template <size_t I = 0>
CommandBody ReadBody(size_t type, const msgpack::object& object) {
  if constexpr (I == std::variant_size_v<CommandBody>) {
    throw msgpack::type_error();
  } else {
    if (type == I) {
      return object.as<std::variant_alternative_t<I, CommandBody>>();
    }
    return ReadBody<I + 1>(type, object);
  }
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldCount);
  packer.pack(static_cast<uint64_t>(command.body.index()));
  packer.pack(command.proposer);
  packer.pack(command.wall_micros);
  std::visit([&](const auto& body) { packer.pack(body); }, command.body);
  return std::string(buffer.data(), buffer.size());
}

Expected<Command> DecodeCommand(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto parts = handle.get().as<std::vector<msgpack::object>>();
    if (parts.size() != kFieldCount) {
      return Fail(ErrorKind::kProtocolError,
                  absl::StrCat("command: expected ", kFieldCount,
                               " fields, found ", parts.size()));
    }
    Command command;
    command.proposer = parts[1].as<VmId>();
    command.wall_micros = parts[2].as<int64_t>();
    command.body = ReadBody(parts[0].as<size_t>(), parts[3]);
    return command;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kProtocolError, absl::StrCat("command: ", e.what()));
  }
}

bool IsSettingsCommand(std::string_view bytes) {
  return bytes.size() > 2 && bytes[0] == kArrayHeader &&
         bytes[1] == kSettingsType;
}

}  // namespace camphorsail
