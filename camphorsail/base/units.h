#ifndef CAMPHORSAIL_BASE_UNITS_H_
#define CAMPHORSAIL_BASE_UNITS_H_

#include <cstdint>

#include "camphorsail/base/strong_id.h"

namespace camphorsail {

/// A number of model tokens.
using Tokens = StrongId<struct TokensTag, int64_t>;

constexpr Tokens operator+(Tokens a, Tokens b) {
  return Tokens(a.value() + b.value());
}
constexpr Tokens operator-(Tokens a, Tokens b) {
  return Tokens(a.value() - b.value());
}

/// Priority tier: 0 is the highest, `kTierCount - 1` the lowest.
using Tier = StrongId<struct TierTag, uint8_t>;
constexpr uint8_t kTierCount = 4;

/// Relative share of an account or class among its siblings; positive.
using Weight = StrongId<struct WeightTag, double>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_UNITS_H_
