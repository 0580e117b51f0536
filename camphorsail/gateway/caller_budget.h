#ifndef CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_
#define CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <limits>

namespace camphorsail {

/// Settings of a `CallerBudget`.
struct CallerBudgetSettings {
  /// Connections of callers that are open at the same time.
  size_t max_connections = std::numeric_limits<size_t>::max();
  /// Bytes of requests that are held at the same time, headers and bodies.
  size_t max_request_bytes = std::numeric_limits<size_t>::max();

  /// @param memory_bytes What the process may use; 0 for no limit.
  /// @param descriptors Likewise.
  /// @return Bounds that leave half of both for the rest of the process.
  static CallerBudgetSettings For(size_t memory_bytes, int descriptors) {
    /// A connection without a request: its object, an entry of the loop, and a
    /// read buffer of its kernel socket.
    constexpr size_t kBytesPerConnection = 16 << 10;
    CallerBudgetSettings settings;
    if (memory_bytes > 0) {
      settings.max_connections = memory_bytes / 4 / kBytesPerConnection;
      settings.max_request_bytes = memory_bytes / 4;
    }
    if (descriptors > 0 &&
        static_cast<size_t>(descriptors) / 2 < settings.max_connections) {
      settings.max_connections = static_cast<size_t>(descriptors) / 2;
    }
    return settings;
  }
};

/// What the callers of one listener may hold at the same time, so that a flood
/// of connections or bodies does not take all memory and descriptors. Belongs
/// to the loop's thread; outlives the connections.
class CallerBudget {
 public:
  explicit CallerBudget(const CallerBudgetSettings& settings)
      : settings_(settings) {}

  /// @return True when one more connection may be taken beside `open` ones.
  bool MayAccept(size_t open) const { return open < settings_.max_connections; }

  /// @return True, and counts the bytes, when they may be held.
  bool Take(size_t bytes) {
    if (bytes > settings_.max_request_bytes - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  void Release(size_t bytes) { used_ -= bytes; }

  /// @return Bytes of requests that are held.
  size_t used() const { return used_; }

 private:
  const CallerBudgetSettings settings_;
  size_t used_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_
