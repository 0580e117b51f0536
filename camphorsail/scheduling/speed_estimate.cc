#include "camphorsail/scheduling/speed_estimate.h"

#include <algorithm>

namespace camphorsail {
namespace {

// Relative step of the stochastic quantile estimates. A change by a factor of
// two takes about 140 observations, which a busy pool makes in less than a
// second.
constexpr double kStep = 0.01;
// Quantile of the observed times per token that is used for planning.
constexpr double kPlannedQuantile = 0.85;
// Weight of a new observation in the time per prompt token.
constexpr double kPromptGain = 0.02;

}  // namespace

int SpeedEstimate::BucketOf(double load) {
  return std::clamp(static_cast<int>(load * kLoadBuckets), 0, kLoadBuckets - 1);
}

double SpeedEstimate::Median(double load) const {
  return medians_[BucketOf(load)];
}

void SpeedEstimate::OnToken(double seconds, double load) {
  double& median = medians_[BucketOf(load)];
  median *= seconds > median ? 1 + kStep / 2 : 1 - kStep / 2;
  planned_ *= seconds > planned_ ? 1 + kStep * kPlannedQuantile
                                 : 1 - kStep * (1 - kPlannedQuantile);
}

void SpeedEstimate::OnPrompt(double seconds) {
  // The bound keeps a prefill that waited behind other prefills from counting
  // as a slow one in full.
  const double bounded = std::min(seconds, per_prompt_token_ * 4);
  per_prompt_token_ += kPromptGain * (bounded - per_prompt_token_);
}

}  // namespace camphorsail
