#ifndef CAMPHORSAIL_QUARANTINE_PROMPT_PART_HASH_H_
#define CAMPHORSAIL_QUARANTINE_PROMPT_PART_HASH_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/strong_id.h"
#include "camphorsail/placement/prompt_part.h"

namespace camphorsail {

/// Identifies the content of one part of a prompt for one model, wherever the
/// part stands in a prompt. Equal on all VMs.
using PromptPartHash = StrongId<struct PromptPartHashTag, uint64_t>;
/// Sorted, without repetitions.
using PromptPartHashes = std::vector<PromptPartHash>;

/// @param model The model that the prompt is for.
/// @param parts The parts of the prompt in their order.
/// @return The parts that other requests may share: all but the last.
inline PromptPartHashes SharedPartHashes(const std::string& model,
                                         const std::vector<PromptPart>& parts) {
  PromptPartHashes hashes;
  const uint64_t seed = Fnv1a64(",", Fnv1a64(model));
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    hashes.emplace_back(MixBits(Fnv1a64(parts[i].id, seed)));
  }
  std::sort(hashes.begin(), hashes.end());
  hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
  return hashes;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_PROMPT_PART_HASH_H_
