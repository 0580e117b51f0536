#ifndef CAMPHORSAIL_RUNTIME_RANDOM_SEED_H_
#define CAMPHORSAIL_RUNTIME_RANDOM_SEED_H_

#include <cstdint>

namespace camphorsail {

/// @return 64 bits from the system's random source, different at each call.
uint64_t RandomSeed();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_RANDOM_SEED_H_
