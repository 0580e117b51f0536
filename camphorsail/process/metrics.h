#ifndef CAMPHORSAIL_PROCESS_METRICS_H_
#define CAMPHORSAIL_PROCESS_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/process/latency_histogram.h"
#include "camphorsail/process/metric_spec.h"

namespace camphorsail {

/// The counters, gauges and latency histograms of one process. The number of
/// series is bounded per family, since values of labels such as accounts come
/// from callers.
///
/// Owned by `main`. All families are declared before other threads use the
/// object; the other functions are thread-safe. A series belongs to one of
/// `kShardCount` shards by the hash of its labels, each with its own lock.
class Metrics {
 public:
  using LabelValues = std::initializer_list<std::string_view>;

  Metrics() = default;
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  MetricId Declare(MetricSpec spec);

  /// Adds to a counter.
  void Increment(MetricId metric, LabelValues labels, uint64_t delta = 1);
  /// Sets a gauge.
  void Set(MetricId metric, LabelValues labels, double value);
  /// Adds a duration to a latency histogram.
  void Observe(MetricId metric, LabelValues labels, absl::Duration duration);

  /// @return All series in the Prometheus text format, in the order of their
  /// declaration and then of their labels.
  std::string Render() const;

 private:
  static constexpr size_t kShardCount = 16;

  struct Family {
    MetricSpec spec;
    std::atomic<size_t> series_count{0};
  };
  struct Series {
    std::vector<std::string> labels;
    uint64_t count = 0;
    double value = 0;
    /// Present in latency families.
    std::optional<LatencyHistogram> latency;
  };
  struct Shard {
    mutable absl::Mutex mutex;
    /// The key holds the family and the label values.
    absl::flat_hash_map<std::string, Series> series ABSL_GUARDED_BY(mutex);
  };
  /// A series with its text in the Prometheus format.
  struct RenderedSeries {
    std::vector<std::string> labels;
    std::string text;
  };

  /// Calls `update` with the series under the lock of its shard. Creates the
  /// series, or uses the overflow series when the family already has
  /// `max_series`.
  template <typename Update>
  void UpdateSeries(MetricId metric,
                    MetricKind kind,
                    LabelValues labels,
                    Update update);
  Shard& ShardOf(const std::string& key);
  static std::string RenderSeries(const MetricSpec& spec, const Series& series);

  /// A deque, since a family cannot be moved.
  std::deque<Family> families_;
  std::array<Shard, kShardCount> shards_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_METRICS_H_
