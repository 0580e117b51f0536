#ifndef CAMPHORSAIL_PROCESS_LATENCY_HISTOGRAM_H_
#define CAMPHORSAIL_PROCESS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace camphorsail {

/// Counts durations in fixed buckets from 0.5 ms to 300 s. Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(absl::Duration duration);

  /// @return Upper bound in seconds and count of durations below it, for each
  /// bucket in ascending order. The last bound is infinite.
  std::vector<std::pair<double, uint64_t>> CumulativeCounts() const;
  uint64_t count() const { return count_; }
  double sum_seconds() const { return sum_seconds_; }

 private:
  /// Hides the types of Boost.Histogram from this header.
  struct Buckets;

  std::unique_ptr<Buckets> buckets_;
  uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LATENCY_HISTOGRAM_H_
