#include "camphorsail/storage/record_frame.h"

#include <cassert>
#include <cstring>

#include "camphorsail/storage/crc32c.h"

namespace camphorsail {
namespace {

// Integers are stored in native byte order. All supported machines are
// little-endian, and files are not moved to other machines.
template <typename T>
void AppendInteger(T value, std::string* out) {
  out->append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <typename T>
T ReadInteger(std::string_view bytes, size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}

uint32_t HeaderChecksum(std::string_view header,
                        uint64_t offset,
                        uint64_t salt) {
  std::string position;
  AppendInteger(offset, &position);
  AppendInteger(salt, &position);
  return Crc32c({header.substr(0, 8), position});
}

}  // namespace

std::string RecordFrame::Encode(std::string_view payload,
                                uint64_t offset,
                                uint64_t salt) {
  assert(payload.size() <= kMaxPayloadBytes);
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendInteger(static_cast<uint32_t>(payload.size()), &frame);
  AppendInteger(Crc32c({payload}), &frame);
  AppendInteger(HeaderChecksum(frame, offset, salt), &frame);
  frame.append(payload);
  return frame;
}

std::optional<std::string_view> RecordFrame::Decode(std::string_view file,
                                                    uint64_t offset,
                                                    uint64_t salt) {
  if (offset > file.size() || file.size() - offset < kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view header = file.substr(offset, kHeaderBytes);
  if (ReadInteger<uint32_t>(header, 8) !=
      HeaderChecksum(header, offset, salt)) {
    return std::nullopt;
  }
  const auto length = ReadInteger<uint32_t>(header, 0);
  if (length > file.size() - offset - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload = file.substr(offset + kHeaderBytes, length);
  if (Crc32c({payload}) != ReadInteger<uint32_t>(header, 4)) {
    return std::nullopt;
  }
  return payload;
}

bool RecordFrame::HasRecordFrom(std::string_view file,
                                uint64_t offset,
                                uint64_t salt) {
  for (; offset + kHeaderBytes <= file.size(); ++offset) {
    if (Decode(file, offset, salt).has_value()) {
      return true;
    }
  }
  return false;
}

}  // namespace camphorsail
