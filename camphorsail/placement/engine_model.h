#ifndef CAMPHORSAIL_PLACEMENT_ENGINE_MODEL_H_
#define CAMPHORSAIL_PLACEMENT_ENGINE_MODEL_H_

#include "absl/time/time.h"
#include "camphorsail/placement/line_fit.h"
#include "camphorsail/placement/quantile_estimate.h"

namespace camphorsail {

/// How fast the servers of one service are, learned from their answers alone.
/// For a model engine: the time to prefill a prompt token, the time to the
/// first event apart from that, and the duration of a decode step. For a plain
/// service: the duration of a call. Differences between the servers of the
/// service are kept in `AttemptHealth`. Not thread-safe.
class EngineModel {
 public:
  /// Tells what requests the service gets, for estimates before any answer has
  /// arrived: an idle engine is assumed to read a prompt within a fraction of
  /// the latency objective of its route.
  /// @param objective Zero when the route has none.
  void OnRequest(double prompt_tokens, absl::Duration objective);

  /// Records the first event of a stream on an engine that had no other prompt
  /// to read when the request was sent.
  /// @param uncached_tokens Estimate of the prompt tokens that were read.
  void OnFirstEvent(double uncached_tokens, absl::Duration wait) {
    first_event_.Add(uncached_tokens, absl::ToDoubleMilliseconds(wait));
  }
  /// Records the time between two events of a stream.
  /// @param tokens Tokens that the engine generated in that time.
  /// @param backlog Time that the engine still needs to read prompts when the
  /// gap ends.
  void OnGap(double tokens, absl::Duration gap, absl::Duration backlog);
  /// Records the answer of a plain service that had a free slot.
  void OnCall(absl::Duration wait);

  /// @return Time to prefill so many prompt tokens, in milliseconds.
  double PrefillMs(double tokens) const { return tokens * PrefillMsPerToken(); }
  double PrefillMsPerToken() const {
    return first_event_.IsReady() ? first_event_.slope()
                                  : assumed_prefill_ms_per_token_;
  }
  /// @return Time from the end of the prefill to the arrival of the first
  /// event, in milliseconds.
  double FirstEventMs() const {
    return first_event_.IsReady() ? first_event_.intercept() : 0;
  }
  /// @return Duration of a decode step, in which each stream of the engine gets
  /// one token, in milliseconds; 0 while it is unknown.
  double StepMs() const { return step_ms_.IsReady() ? step_ms_.value() : 0; }
  /// @param tokens Tokens in an event.
  /// @param backlog_ms Time that the engine needs to read the prompts sent to
  /// it, in milliseconds.
  /// @return Expected longest time between two events of a stream on the
  /// engine, in milliseconds. An engine reads a long prompt in chunks, one in
  /// each step, so that a stream goes on slowly meanwhile.
  double PauseMs(double tokens, double backlog_ms) const;
  /// @return Duration of a call on an idle server, in milliseconds.
  double CallMs() const {
    return call_ms_.IsReady() ? call_ms_.value() : assumed_call_ms_;
  }

 private:
  LineFit first_event_;
  /// Below the median, because prompts of other requests lengthen some gaps.
  QuantileEstimate step_ms_{0.35};
  /// Duration of a step while the engine reads prompts.
  QuantileEstimate reading_step_ms_{0.6};
  QuantileEstimate call_ms_{0.5};
  double assumed_prefill_ms_per_token_ = 0;
  double assumed_call_ms_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ENGINE_MODEL_H_
