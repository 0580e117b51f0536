#include "camphorsail/gateway/loop_telemetry.h"

#include <algorithm>
#include <utility>

#include "camphorsail/process/log_event.h"

namespace camphorsail {

LoopTelemetry::LoopTelemetry(Metrics* metrics, EventLoop* loop)
    : metrics_(metrics), loop_(loop) {
  callbacks_ = metrics_->Declare(
      {"camphorsail_gateway_loop_callback_seconds",
       MetricKind::kLatency,
       "Callbacks of the event loop that took 1 ms or longer.",
       {"source"}});
  longest_ = metrics_->Declare(
      {"camphorsail_gateway_loop_longest_callback_seconds",
       MetricKind::kGauge,
       "Longest callback of the event loop since the metrics were last read.",
       {"source"}});
  timer_lag_ = metrics_->Declare(
      {"camphorsail_gateway_loop_timer_lag_seconds",
       MetricKind::kGauge,
       "Largest delay of a timer since the metrics were last read.",
       {}});
  loop_->SetObserver(
      {.on_callback = [this](LoopSource source,
                             absl::Duration took) { OnCallback(source, took); },
       .on_timer =
           [this](absl::Duration late) {
             largest_lag_ = std::max(largest_lag_, late);
           }});
}

LoopTelemetry::~LoopTelemetry() {
  loop_->SetObserver({});
}

void LoopTelemetry::OnCallback(LoopSource source, absl::Duration took) {
  absl::Duration& longest = longest_callback_[static_cast<size_t>(source)];
  longest = std::max(longest, took);
  if (took >= kMinObserved) {
    metrics_->Observe(callbacks_, {ToString(source)}, took);
  }
  if (took >= kSlowCallback) {
    LogEvent("callback_slow", LogLevel::kWarning)
        .Add("source", ToString(source))
        .Add("took_ms", took);
  }
}

void LoopTelemetry::Update() {
  for (int i = 0; i < kLoopSources; ++i) {
    absl::Duration& longest = longest_callback_[static_cast<size_t>(i)];
    metrics_->Set(
        longest_, {ToString(static_cast<LoopSource>(i))},
        absl::ToDoubleSeconds(std::exchange(longest, absl::ZeroDuration())));
  }
  metrics_->Set(
      timer_lag_, {},
      absl::ToDoubleSeconds(std::exchange(largest_lag_, absl::ZeroDuration())));
}

}  // namespace camphorsail
