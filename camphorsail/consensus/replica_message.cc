#include "camphorsail/consensus/replica_message.h"

#include <utility>
#include <vector>

#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {
namespace {

/// The seven elements of the array that `ReplicaMessage::Encode` packs.
constexpr uint32_t kFieldCount = 7;

bool AreValidEntries(const std::vector<LogEntry>& entries, LogIndex after) {
  for (const LogEntry& entry : entries) {
    if (entry.kind > EntryKind::kMembership || entry.index <= after) {
      return false;
    }
    after = entry.index;
  }
  return true;
}

bool IsValid(const AppendRequest& body) {
  if (!AreValidEntries(body.entries, body.previous.index)) {
    return false;
  }
  // The indexes increase, so they are consecutive when the last one matches the
  // number of entries.
  return body.entries.empty() ||
         body.entries.back().index.value() - body.previous.index.value() ==
             body.entries.size();
}
bool IsValid(const LeaseGrant& body) {
  return AreValidEntries(body.tail.entries, body.tail.base);
}
bool IsValid(const SnapshotChunk& body) {
  return body.offset <= body.total_size &&
         body.data.size() <= body.total_size - body.offset;
}
bool IsValid(const JoinRequest& body) {
  return body.member.kind <= MemberKind::kVoter;
}
template <typename Body>
bool IsValid(const Body&) {
  return true;
}

template <size_t Index = 0>
bool ConvertBody(size_t index,
                 const msgpack::object& object,
                 ReplicaMessageBody* body) {
  if constexpr (Index < std::variant_size_v<ReplicaMessageBody>) {
    if (index != Index) {
      return ConvertBody<Index + 1>(index, object, body);
    }
    using Body = std::variant_alternative_t<Index, ReplicaMessageBody>;
    Body value = object.as<Body>();
    const bool valid = IsValid(value);
    *body = std::move(value);
    return valid;
  } else {
    return false;
  }
}

}  // namespace

std::string ReplicaMessage::Encode() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldCount);
  packer.pack(from_vm);
  packer.pack(from);
  packer.pack(to_vm);
  packer.pack(to);
  packer.pack(term);
  packer.pack(body.index());
  std::visit([&](const auto& value) { packer.pack(value); }, body);
  return std::string(buffer.data(), buffer.size());
}

Expected<ReplicaMessage> ReplicaMessage::Decode(std::string_view bytes) {
  Expected<msgpack::object_handle> handle = ParseBytes(bytes);
  if (!handle.has_value()) {
    return tl::unexpected<Error>(handle.error());
  }
  const msgpack::object& root = handle->get();
  if (root.type != msgpack::type::ARRAY || root.via.array.size != kFieldCount) {
    return Fail(ErrorKind::kProtocolError,
                "a replica message must be a MessagePack array of " +
                    std::to_string(kFieldCount) + " fields");
  }
  const msgpack::object* fields = root.via.array.ptr;
  try {
    ReplicaMessage message;
    fields[0].convert(message.from_vm);
    fields[1].convert(message.from);
    fields[2].convert(message.to_vm);
    fields[3].convert(message.to);
    fields[4].convert(message.term);
    if (!ConvertBody(fields[5].as<size_t>(), fields[6], &message.body)) {
      return Fail(
          ErrorKind::kProtocolError,
          "a replica message has an unknown body type or an invalid body");
    }
    return message;
  } catch (const std::exception&) {
    return Fail(
        ErrorKind::kProtocolError,
        "a field of a replica message has an unexpected MessagePack type");
  }
}

}  // namespace camphorsail
