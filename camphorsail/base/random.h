#ifndef CAMPHORSAIL_BASE_RANDOM_H_
#define CAMPHORSAIL_BASE_RANDOM_H_

#include <cstdint>

namespace camphorsail {

/// Seeded pseudo-random number generator (SplitMix64, Steele et al. 2014).
/// Unlike the standard distributions, it gives the same numbers on every
/// machine and library version. Not for secrets. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  /// @return 64 uniformly distributed bits.
  uint64_t Next();
  /// @param bound Exclusive upper bound, above zero.
  /// @return A uniform integer in [0, bound).
  uint64_t Below(uint64_t bound);
  /// @return A uniform number in [0, 1).
  double Uniform();
  /// @param mean The distribution's mean, above zero.
  /// @return An exponentially distributed number.
  double Exponential(double mean);
  /// @return A normally distributed number with mean 0 and standard deviation
  /// 1.
  double Normal();

 private:
  uint64_t state_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_RANDOM_H_
