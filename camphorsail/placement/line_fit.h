#ifndef CAMPHORSAIL_PLACEMENT_LINE_FIT_H_
#define CAMPHORSAIL_PLACEMENT_LINE_FIT_H_

#include <array>
#include <cstddef>

namespace camphorsail {

/// Fits a line `y = intercept + slope * x` to the latest samples by the
/// Theil-Sen estimator (Theil 1950, Sen 1968): the slope is the median over all
/// pairs of samples, so that up to a quarter of the samples may be far off.
/// Old samples are overwritten, so the fit follows a change. Not thread-safe.
class LineFit {
 public:
  /// Adds a sample; both values must not be negative.
  void Add(double x, double y);

  /// @return True once there are enough samples for a usable fit.
  bool IsReady() const { return is_ready_; }
  double slope() const { return slope_; }
  double intercept() const { return intercept_; }

 private:
  static constexpr size_t kCapacity = 40;
  /// Samples before the first fit.
  static constexpr size_t kMinSamples = 10;
  /// Samples between two fits.
  static constexpr size_t kSamplesPerFit = 4;

  void Fit();

  struct Sample {
    double x = 0;
    double y = 0;
  };
  std::array<Sample, kCapacity> samples_;
  /// Number of samples added so far.
  size_t count_ = 0;
  bool is_ready_ = false;
  double slope_ = 0;
  double intercept_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_LINE_FIT_H_
