#include "camphorsail/base/random.h"

#include <cassert>
#include <cmath>

namespace camphorsail {

uint64_t Random::Next() {
  state_ += 0x9e3779b97f4a7c15ULL;
  uint64_t z = state_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t Random::Below(uint64_t bound) {
  assert(bound > 0);
  return static_cast<uint64_t>(
      (static_cast<unsigned __int128>(Next()) * bound) >> 64);
}

double Random::Uniform() {
  constexpr double kScale = 1.0 / (1ULL << 53);
  return static_cast<double>(Next() >> 11) * kScale;
}

double Random::Exponential(double mean) {
  return -mean * std::log1p(-Uniform());
}

double Random::Normal() {
  // Box-Muller; 1 - u keeps the logarithm's argument above zero.
  const double radius = std::sqrt(-2.0 * std::log(1.0 - Uniform()));
  return radius * std::cos(2.0 * M_PI * Uniform());
}

}  // namespace camphorsail
