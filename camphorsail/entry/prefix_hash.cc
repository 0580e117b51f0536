#include "camphorsail/entry/prefix_hash.h"

#include <algorithm>

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  const size_t blocks =
      std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<uint64_t> hashes;
  hashes.reserve(blocks);
  // Each block's hash is seeded with the previous one, so that it covers all
  // bytes from the start of the prompt.
  uint64_t hash = Fnv1a64({});
  for (size_t block = 0; block < blocks; ++block) {
    hash = Fnv1a64(prompt.substr(block * kPrefixBlockBytes, kPrefixBlockBytes),
                   hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace camphorsail
