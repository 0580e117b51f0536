#ifndef CAMPHORSAIL_BASE_FNV_HASH_H_
#define CAMPHORSAIL_BASE_FNV_HASH_H_

#include <cstdint>
#include <string_view>

namespace camphorsail {

/// FNV-1a hash of bytes. Unlike `absl::Hash`, it is equal on every machine and
/// release. Not for secrets and not resistant to intentional collisions.
/// @param bytes The input.
/// @param seed The result for preceding bytes, to hash several pieces.
inline uint64_t Fnv1a64(std::string_view bytes,
                        uint64_t seed = 0xcbf29ce484222325ULL) {
  uint64_t hash = seed;
  for (const char c : bytes) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return hash;
}

/// Mixes the bits of an FNV hash, so that hashes of similar names are unrelated
/// when they are compared by magnitude (finalizer of SplitMix64).
inline uint64_t MixBits(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// @return Hash of a name that is equal on all VMs.
inline uint64_t StableHash(std::string_view name) {
  return MixBits(Fnv1a64(name));
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_FNV_HASH_H_
