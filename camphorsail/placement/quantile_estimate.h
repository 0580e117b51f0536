#ifndef CAMPHORSAIL_PLACEMENT_QUANTILE_ESTIMATE_H_
#define CAMPHORSAIL_PLACEMENT_QUANTILE_ESTIMATE_H_

#include <algorithm>
#include <cmath>

namespace camphorsail {

/// Estimates a quantile of positive values by stochastic approximation
/// (Robbins and Monro 1951) on a logarithmic scale, which needs one number of
/// state and bounds the effect of a single outlier. Not thread-safe.
class QuantileEstimate {
 public:
  /// @param quantile The fraction of the values below the estimate.
  explicit QuantileEstimate(double quantile) : quantile_(quantile) {}

  /// @param value Must be positive.
  void Add(double value) {
    if (count_ == 0) {
      value_ = value;
    }
    ++count_;
    const double gain = std::max(kMinGain, kFirstGain / count_);
    value_ *= std::exp(gain * (value > value_ ? quantile_ : quantile_ - 1));
  }
  /// @return True once there are enough values for a usable estimate.
  bool IsReady() const { return count_ >= kMinValues; }
  double value() const { return value_; }

 private:
  /// Largest relative change by one value, at first and in the long run.
  static constexpr double kFirstGain = 2;
  static constexpr double kMinGain = 0.04;
  static constexpr int kMinValues = 5;

  const double quantile_;
  double value_ = 0;
  int count_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_QUANTILE_ESTIMATE_H_
