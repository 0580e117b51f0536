#ifndef CAMPHORSAIL_BASE_MSGPACK_ERROR_KIND_H_
#define CAMPHORSAIL_BASE_MSGPACK_ERROR_KIND_H_

#include "camphorsail/base/error_kind.h"
#include "msgpack.hpp"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// Reads an `ErrorKind`; a number without an enumerator is a type error.
  template <>
  struct convert<camphorsail::ErrorKind> {
    const msgpack::object& operator()(const msgpack::object& object,
                                      camphorsail::ErrorKind& kind) const {
      const auto value = object.as<uint8_t>();
      if (value >= camphorsail::kErrorKindCount) {
        throw msgpack::type_error();
      }
      kind = static_cast<camphorsail::ErrorKind>(value);
      return object;
    }
  };

  /// Writes an `ErrorKind` as its number.
  template <>
  struct pack<camphorsail::ErrorKind> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                        camphorsail::ErrorKind kind) const {
      packer.pack(static_cast<uint8_t>(kind));
      return packer;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // CAMPHORSAIL_BASE_MSGPACK_ERROR_KIND_H_
