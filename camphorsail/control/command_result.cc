#include "camphorsail/control/command_result.h"

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_error_kind.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

/// The encoding is an array of six fields: index, whether there is an error,
/// the error (kind, message, retry delay in nanoseconds), settings version,
/// opens, closes.
constexpr uint32_t kFieldCount = 6;

}  // namespace

std::string EncodeCommandResult(const CommandResult& result) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  const Error error = result.error.value_or(Error());
  packer.pack_array(kFieldCount);
  packer.pack(result.index);
  packer.pack(result.error.has_value());
  packer.pack_array(3);
  packer.pack(error.kind);
  packer.pack(error.message);
  packer.pack(absl::ToInt64Nanoseconds(error.retry_after));
  packer.pack(result.settings_version);
  packer.pack(result.opens);
  packer.pack(result.closes);
  return std::string(buffer.data(), buffer.size());
}

Expected<CommandResult> DecodeCommandResult(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto parts = handle.get().as<std::vector<msgpack::object>>();
    if (parts.size() != kFieldCount) {
      return Fail(ErrorKind::kProtocolError,
                  absl::StrCat("command result: expected ", kFieldCount,
                               " fields, found ", parts.size()));
    }
    CommandResult result;
    result.index = parts[0].as<LogIndex>();
    if (parts[1].as<bool>()) {
      const auto error = parts[2].as<std::vector<msgpack::object>>();
      result.error =
          Error{error.at(0).as<ErrorKind>(), error.at(1).as<std::string>(),
                absl::Nanoseconds(error.at(2).as<int64_t>())};
    }
    result.settings_version = parts[3].as<SettingsVersion>();
    result.opens = parts[4].as<std::vector<LedgerOpenResult>>();
    result.closes = parts[5].as<std::vector<LedgerCloseResult>>();
    return result;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kProtocolError,
                absl::StrCat("command result: ", e.what()));
  }
}

}  // namespace camphorsail
