#ifndef CAMPHORSAIL_ENTRY_SSE_PARSER_H_
#define CAMPHORSAIL_ENTRY_SSE_PARSER_H_

#include <optional>
#include <string>
#include <string_view>

namespace camphorsail {

/// Splits a stream of server-sent events into events. Only the `data` field is
/// used; other fields and comments are skipped. Not thread-safe.
class SseParser {
 public:
  /// Maximum size of an incomplete event in the buffer, in bytes.
  static constexpr size_t kMaxEventBytes = 32 * 1024;

  /// Adds bytes of the stream.
  /// @param bytes The next bytes.
  /// @return False when the incomplete event in the buffer already exceeds
  ///     `kMaxEventBytes`; the bytes are not added then.
  bool Append(std::string_view bytes);

  /// @return The data of the next complete event; nothing when more bytes are
  ///     needed.
  std::optional<std::string> Next();

 private:
  std::string buffer_;
  /// Start of the unread part of `buffer_`.
  size_t offset_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_SSE_PARSER_H_
