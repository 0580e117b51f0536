#ifndef CAMPHORSAIL_SCHEDULING_SPEED_ESTIMATE_H_
#define CAMPHORSAIL_SCHEDULING_SPEED_ESTIMATE_H_

#include <array>

namespace camphorsail {

/// Estimates the usual speed of a pool's servers from their answers. Guarded by
/// the lock of the scheduler's shard.
class SpeedEstimate {
 public:
  /// @param seconds_per_token Assumed before anything is observed.
  /// @param seconds_per_prompt_token Assumed before anything is observed.
  SpeedEstimate(double seconds_per_token, double seconds_per_prompt_token)
      : planned_(seconds_per_token),
        per_prompt_token_(seconds_per_prompt_token) {
    medians_.fill(seconds_per_token);
  }

  /// @param seconds Observed time per output token.
  /// @param load Requests on the server divided by its capacity.
  void OnToken(double seconds, double load);
  /// @param seconds Observed time per computed prompt token.
  void OnPrompt(double seconds);
  /// @return Median time per token of servers at this load, with which health
  /// tracking compares a server. A full batch is more than twice as slow as a
  /// small one, so servers are compared only at equal load.
  double Median(double load) const;
  /// @return Seconds per output token to plan with: a high quantile of recent
  /// observations, about the time in full batches.
  double planned() const { return planned_; }
  /// @return Seconds per computed prompt token.
  double per_prompt_token() const { return per_prompt_token_; }

 private:
  static constexpr int kLoadBuckets = 8;
  static int BucketOf(double load);

  std::array<double, kLoadBuckets> medians_;
  double planned_;
  double per_prompt_token_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SPEED_ESTIMATE_H_
