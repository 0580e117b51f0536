#ifndef CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_
#define CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorsail {

/// Cuts a `text/event-stream` body into whole events, so that a broken stream
/// can be continued behind the last one.
class EventStream {
 public:
  /// @param data Bytes of the body as they arrive.
  /// @return The whole events that are complete with them, as sent; empty when
  /// there is none.
  std::string Take(std::string_view data);

  /// @return What follows the last whole event.
  const std::string& rest() const { return rest_; }
  /// @return Id of the last whole event that had one.
  std::optional<uint64_t> last_id() const { return last_id_; }
  /// @return Whole events so far.
  uint64_t count() const { return count_; }

 private:
  void ReadId(std::string_view event);

  std::string rest_;
  std::optional<uint64_t> last_id_;
  uint64_t count_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_EVENT_STREAM_H_
