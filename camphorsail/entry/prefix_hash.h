#ifndef CAMPHORSAIL_ENTRY_PREFIX_HASH_H_
#define CAMPHORSAIL_ENTRY_PREFIX_HASH_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorsail {

/// Bytes of prompt text in one cache block; about 16 tokens.
constexpr size_t kPrefixBlockBytes = 64;
/// Only this many blocks of a prompt are hashed, which bounds the cost per
/// request.
constexpr size_t kMaxPrefixBlocks = 256;

/// Hashes the full blocks of a prompt as a chain, so that equal hashes mean
/// equal prefixes. Backend servers announce the content of their prefix caches
/// with the same hashes.
///
/// @param prompt The prompt text.
/// @return One hash per full block, longest prefix last.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_PREFIX_HASH_H_
