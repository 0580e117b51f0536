#ifndef CAMPHORSAIL_BASE_MSGPACK_STRONG_ID_H_
#define CAMPHORSAIL_BASE_MSGPACK_STRONG_ID_H_

#include "camphorsail/base/strong_id.h"
#include "msgpack.hpp"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// Reads a `StrongId` from the encoding of its representation.
  template <typename Tag, typename Rep>
  struct convert<camphorsail::StrongId<Tag, Rep>> {
    const msgpack::object& operator()(
        const msgpack::object& object,
        camphorsail::StrongId<Tag, Rep>& id) const {
      id = camphorsail::StrongId<Tag, Rep>(object.as<Rep>());
      return object;
    }
  };

  /// Writes a `StrongId` as its representation.
  template <typename Tag, typename Rep>
  struct pack<camphorsail::StrongId<Tag, Rep>> {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(
        msgpack::packer<Stream>& packer,
        const camphorsail::StrongId<Tag, Rep>& id) const {
      packer.pack(id.value());
      return packer;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

#endif  // CAMPHORSAIL_BASE_MSGPACK_STRONG_ID_H_
