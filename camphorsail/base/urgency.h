#ifndef CAMPHORSAIL_BASE_URGENCY_H_
#define CAMPHORSAIL_BASE_URGENCY_H_

#include "camphorsail/base/strong_id.h"

namespace camphorsail {

/// Number of urgency levels that model engines distinguish.
inline constexpr int kUrgencyLevels = 10;

/// Rank of a request in the queue of a model engine, from 0, the most urgent,
/// to `kUrgencyLevels` - 1. A more urgent request compares as less.
using Urgency = StrongId<struct UrgencyTag, int>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_URGENCY_H_
