#ifndef CAMPHORSAIL_BASE_MSGPACK_UNPACK_H_
#define CAMPHORSAIL_BASE_MSGPACK_UNPACK_H_

#include <string_view>

#include "msgpack.hpp"

namespace camphorsail {

/// Decodes one MessagePack object that takes up all of `bytes`. Sizes stated in
/// the input are bounded by its length, so that a damaged input cannot make the
/// decoder allocate far more than it holds.
/// @throws std::exception When `bytes` is not such an object.
inline msgpack::object_handle UnpackBounded(std::string_view bytes) {
  constexpr size_t kMaxDepth = 32;
  const size_t size = bytes.size();
  size_t offset = 0;
  msgpack::object_handle handle = msgpack::unpack(
      bytes.data(), size, offset, nullptr, nullptr,
      msgpack::unpack_limit(size, size, size, size, size, kMaxDepth));
  if (offset != size) {
    throw msgpack::parse_error("unexpected bytes after the object");
  }
  return handle;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_MSGPACK_UNPACK_H_
