#include "camphorsail/placement/engine_model.h"

#include <algorithm>

namespace camphorsail {
namespace {

/// Fraction of the latency objective in which an idle server is assumed to read
/// the prompt or to answer the call.
constexpr double kAssumedObjectiveFraction = 0.2;

/// Lowers `value` to `limit`; 0 stands for no value yet.
void TakeLower(double limit, double* value) {
  *value = *value == 0 ? limit : std::min(*value, limit);
}

}  // namespace

void EngineModel::OnRequest(double prompt_tokens, absl::Duration objective) {
  if (objective <= absl::ZeroDuration()) {
    return;
  }
  const double assumed_ms =
      absl::ToDoubleMilliseconds(objective) * kAssumedObjectiveFraction;
  TakeLower(assumed_ms, &assumed_call_ms_);
  if (prompt_tokens > 0) {
    TakeLower(assumed_ms / prompt_tokens, &assumed_prefill_ms_per_token_);
  }
}

void EngineModel::OnGap(double tokens,
                        absl::Duration gap,
                        absl::Duration backlog) {
  if (tokens <= 0 || gap <= absl::ZeroDuration()) {
    return;
  }
  const double ms_per_token = absl::ToDoubleMilliseconds(gap) / tokens;
  step_ms_.Add(ms_per_token);
  if (backlog >= gap) {
    // The engine has been reading for the whole gap.
    reading_step_ms_.Add(ms_per_token);
  }
}

double EngineModel::PauseMs(double tokens, double backlog_ms) const {
  const double event_ms = tokens * StepMs();
  if (!reading_step_ms_.IsReady()) {
    return event_ms + backlog_ms;
  }
  return std::min(event_ms + backlog_ms,
                  std::max(event_ms, tokens * reading_step_ms_.value()));
}

void EngineModel::OnCall(absl::Duration wait) {
  if (wait > absl::ZeroDuration()) {
    call_ms_.Add(absl::ToDoubleMilliseconds(wait));
  }
}

}  // namespace camphorsail
