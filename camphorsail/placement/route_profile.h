#ifndef CAMPHORSAIL_PLACEMENT_ROUTE_PROFILE_H_
#define CAMPHORSAIL_PLACEMENT_ROUTE_PROFILE_H_

#include <algorithm>

#include "absl/time/time.h"

namespace camphorsail {

/// What the requests of one route to a model engine are typically like, as
/// moving averages of those that this gateway has seen. Not thread-safe.
class RouteProfile {
 public:
  /// @param prompt_tokens Length of the prompt.
  /// @param unshared_tokens Length of its last part, which no other request
  /// shares.
  void OnRequest(double prompt_tokens, double unshared_tokens) {
    ++requests_;
    const double weight = std::max(kLatestWeight, 1.0 / requests_);
    prompt_tokens_ += weight * (prompt_tokens - prompt_tokens_);
    unshared_tokens_ += weight * (unshared_tokens - unshared_tokens_);
  }
  /// @param output_tokens Length of a complete answer.
  /// @param duration Time for which the stream occupied a slot of its engine,
  /// without the time to its first event.
  void OnStreamEnd(double output_tokens, absl::Duration duration) {
    ++streams_;
    const double weight = std::max(kLatestWeight, 1.0 / streams_);
    output_tokens_ += weight * (output_tokens - output_tokens_);
    stream_seconds_ +=
        weight * (absl::ToDoubleSeconds(duration) - stream_seconds_);
  }
  /// @param ratio Time to the start of an answer, divided by the expected time.
  /// @return `ratio` divided by its average. The estimate of the time deviates
  /// in the same way for all servers; only a deviation from the average of the
  /// route shows that a server is slow.
  double RelativeResponseTime(double ratio) {
    if (response_ratio_ == 0) {
      response_ratio_ = ratio;
    }
    response_ratio_ += kRatioWeight * (ratio - response_ratio_);
    return ratio / response_ratio_;
  }

  int requests() const { return requests_; }
  double prompt_tokens() const { return prompt_tokens_; }
  double unshared_tokens() const { return unshared_tokens_; }
  double output_tokens() const { return output_tokens_; }
  double stream_seconds() const { return stream_seconds_; }

 private:
  /// Weight of the latest value in the averages, once there are enough values.
  static constexpr double kLatestWeight = 0.05;
  static constexpr double kRatioWeight = 0.02;

  int requests_ = 0;
  int streams_ = 0;
  double prompt_tokens_ = 0;
  double unshared_tokens_ = 0;
  /// Assumed until the first stream has ended.
  double output_tokens_ = 200;
  double stream_seconds_ = 1.5;
  double response_ratio_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ROUTE_PROFILE_H_
