#ifndef CAMPHORSAIL_BASE_MSGPACK_BYTES_H_
#define CAMPHORSAIL_BASE_MSGPACK_BYTES_H_

#include <exception>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "msgpack.hpp"

namespace camphorsail {

/// @return The MessagePack form of `value`.
template <typename T>
std::string PackBytes(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return std::string(buffer.data(), buffer.size());
}

/// @return The MessagePack object that takes up all of `bytes`, or
/// `kProtocolError`.
inline Expected<msgpack::object_handle> ParseBytes(std::string_view bytes) {
  // Every element takes at least one byte, so that a header which claims more
  // elements than there are bytes cannot make the parser allocate them.
  const size_t limit = bytes.size();
  const msgpack::unpack_limit limits(limit, 0, limit, limit, 0, 16);
  try {
    size_t offset = 0;
    msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    if (offset != bytes.size()) {
      return Fail(ErrorKind::kProtocolError,
                  "unexpected bytes after the MessagePack object");
    }
    return handle;
  } catch (const std::exception&) {
    return Fail(ErrorKind::kProtocolError, "malformed MessagePack");
  }
}

/// @return The value, or `kProtocolError` when `bytes` is not the encoding of
/// exactly one `T`.
template <typename T>
Expected<T> UnpackBytes(std::string_view bytes) {
  Expected<msgpack::object_handle> handle = ParseBytes(bytes);
  if (!handle.has_value()) {
    return tl::unexpected<Error>(handle.error());
  }
  try {
    return handle->get().as<T>();
  } catch (const std::exception&) {
    return Fail(ErrorKind::kProtocolError, "unexpected MessagePack types");
  }
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_MSGPACK_BYTES_H_
