#ifndef CAMPHORSAIL_BASE_HYBRID_CLOCK_H_
#define CAMPHORSAIL_BASE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>

#include "absl/time/time.h"

namespace camphorsail {

/// A hybrid logical timestamp (Kulkarni et al. 2014): an event has a greater
/// timestamp than the events that caused it, across all processes.
struct HybridTimestamp {
  /// Microseconds since the Unix epoch of the largest wall clock seen so far.
  int64_t wall_micros = 0;
  /// Orders events with equal `wall_micros`.
  uint32_t counter = 0;

  friend auto operator<=>(const HybridTimestamp&,
                          const HybridTimestamp&) = default;
};

/// Generates the timestamps of one process. Not thread-safe.
class HybridClock {
 public:
  /// @param wall_now The process's wall clock.
  /// @return A timestamp greater than every earlier one.
  HybridTimestamp Now(absl::Time wall_now);

  /// Makes all later timestamps greater than one that another process sent.
  void Observe(const HybridTimestamp& remote);

 private:
  HybridTimestamp last_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_HYBRID_CLOCK_H_
