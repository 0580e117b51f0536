#ifndef CAMPHORSAIL_PLACEMENT_SPEED_SAMPLES_H_
#define CAMPHORSAIL_PLACEMENT_SPEED_SAMPLES_H_

#include <cmath>
#include <cstdint>

namespace camphorsail {

/// Weighted sum of speed factors of one server, measured by one or more
/// gateways. Sums can be added and subtracted; their mean is the factor.
struct SpeedSamples {
  /// Parts of an octave in which factors are rounded for the exchange; 2 %.
  static constexpr double kStepsPerOctave = 32;

  /// Sum of the rounded logarithms, each times its weight.
  int64_t steps = 0;
  uint32_t weight = 0;

  static SpeedSamples Of(double factor, uint32_t weight) {
    return {std::lround(std::log2(factor) * kStepsPerOctave) * weight, weight};
  }
  bool IsEmpty() const { return weight == 0; }
  /// @return Binary logarithm of the mean factor; zero when empty.
  double MeanLog() const {
    return weight == 0 ? 0
                       : static_cast<double>(steps) / weight / kStepsPerOctave;
  }
  SpeedSamples& operator+=(const SpeedSamples& other) {
    steps += other.steps;
    weight += other.weight;
    return *this;
  }
  /// @param other Samples that were added before.
  SpeedSamples& operator-=(const SpeedSamples& other) {
    steps -= other.steps;
    weight -= other.weight;
    return *this;
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SPEED_SAMPLES_H_
