#ifndef CAMPHORSAIL_GATEWAY_LOOP_TELEMETRY_H_
#define CAMPHORSAIL_GATEWAY_LOOP_TELEMETRY_H_

#include <array>

#include "absl/time/time.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/process/metrics.h"

namespace camphorsail {

/// Metrics and log lines about the callbacks that keep an event loop from its
/// other work. Not thread-safe; used on the event loop's thread only.
class LoopTelemetry {
 public:
  /// A callback that takes longer is logged. All other work of the loop waits
  /// for it.
  static constexpr absl::Duration kSlowCallback = absl::Milliseconds(50);
  /// Shorter callbacks are not added to the histogram.
  static constexpr absl::Duration kMinObserved = absl::Milliseconds(1);

  /// @param metrics Must outlive this object. The constructor declares the
  /// metric families.
  /// @param loop Must outlive this object, which is its observer.
  LoopTelemetry(Metrics* metrics, EventLoop* loop);
  ~LoopTelemetry();
  LoopTelemetry(const LoopTelemetry&) = delete;
  LoopTelemetry& operator=(const LoopTelemetry&) = delete;

  /// Sets the gauges. Each holds the largest value since the last call.
  void Update();

 private:
  void OnCallback(LoopSource source, absl::Duration took);

  Metrics* const metrics_;
  EventLoop* const loop_;
  MetricId callbacks_;
  MetricId longest_;
  MetricId timer_lag_;
  std::array<absl::Duration, kLoopSources> longest_callback_;
  absl::Duration largest_lag_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_LOOP_TELEMETRY_H_
