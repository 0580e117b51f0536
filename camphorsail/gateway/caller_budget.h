#ifndef CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_
#define CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "camphorsail/gateway/byte_account.h"

namespace camphorsail {

/// Settings of a `CallerBudget`.
struct CallerBudgetSettings {
  /// Maximum number of open connections of callers.
  size_t max_connections = std::numeric_limits<size_t>::max();
  /// Maximum bytes of request headers and bodies held in memory.
  size_t max_request_bytes = std::numeric_limits<size_t>::max();

  /// @param memory_bytes Memory limit of the process; 0 for no limit.
  /// @param descriptors Limit of file descriptors of the process; 0 for no
  /// limit.
  /// @return Limits for callers that leave half of both for the rest of the
  /// process.
  static CallerBudgetSettings For(size_t memory_bytes, int descriptors) {
    /// Memory of a connection without a request: its object, its entry in the
    /// event loop, and the read buffer of its kernel socket.
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

/// Limits the connections and the request bytes that the callers of one
/// listener may hold at the same time, so that a flood of connections or
/// request bodies cannot exhaust the memory and the file descriptors. Must
/// outlive the connections. Not thread-safe; used on the event loop's thread
/// only.
class CallerBudget {
 public:
  explicit CallerBudget(const CallerBudgetSettings& settings)
      : max_connections_(settings.max_connections),
        requests_(settings.max_request_bytes) {}

  /// @param open Number of open connections.
  /// @return True when one more connection may be accepted.
  bool MayAccept(size_t open) const { return open < max_connections_; }

  /// Bytes of the requests.
  ByteAccount& requests() { return requests_; }
  const ByteAccount& requests() const { return requests_; }

 private:
  const size_t max_connections_;
  ByteAccount requests_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_BUDGET_H_
