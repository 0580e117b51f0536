#ifndef CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_
#define CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorsail {

/// Splits a `text/event-stream` body into complete events, so that a broken
/// stream can be resumed after the last complete event. Looks at each byte
/// once, however the body is divided and however long an event is.
class EventStream {
 public:
  /// @param data The next bytes of the body.
  /// @return The events that these bytes complete, unchanged; empty when there
  /// are none.
  std::string Take(std::string_view data);

  /// @return The bytes after the last complete event.
  const std::string& rest() const { return rest_; }
  /// @return Id of the last complete event that had an id.
  std::optional<uint64_t> last_id() const { return last_id_; }
  /// @return Number of complete events so far.
  uint64_t count() const { return count_; }

 private:
  void ReadId(std::string_view event);

  std::string rest_;
  /// Start of the last line of `rest_`, whose end has not arrived.
  size_t line_ = 0;
  /// Bytes of `rest_` in which no further end of a line can be found.
  size_t scanned_ = 0;
  std::optional<uint64_t> last_id_;
  uint64_t count_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_
