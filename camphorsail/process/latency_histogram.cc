#include "camphorsail/process/latency_histogram.h"

#include <boost/histogram.hpp>
#include <initializer_list>
#include <limits>

namespace camphorsail {
namespace {

namespace histogram = boost::histogram;

using Axis = histogram::axis::variable<double>;
using Storage = histogram::dense_storage<uint64_t>;

/// Bucket bounds in seconds. They include the latency targets (33 ms between
/// tokens, 1 s to the first token), so that the fraction of durations that meet
/// a target can be read directly.
constexpr std::initializer_list<double> kBounds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05, 0.1, 0.2,
    0.5,    1,     2,      5,     10,   20,   30,    60,   120, 300};

}  // namespace

struct LatencyHistogram::Buckets {
  decltype(histogram::make_histogram_with(Storage(), Axis(kBounds))) counts =
      histogram::make_histogram_with(Storage(), Axis(kBounds));
};

LatencyHistogram::LatencyHistogram() : buckets_(std::make_unique<Buckets>()) {}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(absl::Duration duration) {
  const double seconds = absl::ToDoubleSeconds(duration);
  buckets_->counts(seconds);
  ++count_;
  sum_seconds_ += seconds;
}

std::vector<std::pair<double, uint64_t>> LatencyHistogram::CumulativeCounts()
    const {
  std::vector<std::pair<double, uint64_t>> result;
  const auto& axis = buckets_->counts.axis(0);
  uint64_t total = 0;
  // Index -1 is the underflow bucket and index size() the overflow bucket.
  for (int i = -1; i <= axis.size(); ++i) {
    total += buckets_->counts.at(i);
    const double bound = i < axis.size()
                             ? axis.value(i + 1)
                             : std::numeric_limits<double>::infinity();
    result.emplace_back(bound, total);
  }
  return result;
}

}  // namespace camphorsail
