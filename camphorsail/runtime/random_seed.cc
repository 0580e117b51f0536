#include "camphorsail/runtime/random_seed.h"

#include <random>

namespace camphorsail {

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace camphorsail
