#ifndef CAMPHORSAIL_STORAGE_RECORD_FRAME_H_
#define CAMPHORSAIL_STORAGE_RECORD_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorsail {

/// Encodes and decodes one checksummed record of a file. Its fields are the
/// payload length, the CRC32C of the payload, the header checksum, and the
/// payload.
///
/// The header checksum is the CRC32C of the two fields before it, the file
/// offset of the record and a salt, so that bytes inside a payload are not
/// mistaken for a record.
class RecordFrame {
 public:
  static constexpr size_t kHeaderBytes = 12;
  /// Limit on the payload, so that its length fits the length field.
  static constexpr size_t kMaxPayloadBytes = 1 << 30;

  /// @param payload At most `kMaxPayloadBytes`.
  /// @param offset Offset in the file at which the record will be written.
  /// @param salt Id of the replica that owns the file; 0 in the file `replica`,
  ///     which contains that id.
  /// @return The encoded record.
  static std::string Encode(std::string_view payload,
                            uint64_t offset,
                            uint64_t salt);
  /// @param file Content of the whole file.
  /// @return The payload of the record at `offset`; `std::nullopt` when the
  ///     record is incomplete or fails a checksum.
  static std::optional<std::string_view> Decode(std::string_view file,
                                                uint64_t offset,
                                                uint64_t salt);
  /// @return True when a valid record starts at or after `offset`.
  static bool HasRecordFrom(std::string_view file,
                            uint64_t offset,
                            uint64_t salt);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_STORAGE_RECORD_FRAME_H_
