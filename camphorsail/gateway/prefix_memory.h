#ifndef CAMPHORSAIL_GATEWAY_PREFIX_MEMORY_H_
#define CAMPHORSAIL_GATEWAY_PREFIX_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/gateway/prompt_part.h"

namespace camphorsail {

/// The shared prefixes of a prompt: for each but the last part, a hash of the
/// parts up to it and their tokens.
struct PromptPrefixes {
  struct Prefix {
    uint64_t hash = 0;
    Tokens tokens;
  };
  /// From the shortest to the longest.
  std::vector<Prefix> prefixes;

  /// @param model Part of the hashes, since caches are per model.
  static PromptPrefixes Of(const std::string& model,
                           const std::vector<PromptPart>& parts);
};

/// The prompt prefixes that this gateway has sent to one engine lately, which
/// the engine probably caches. Bounded. Belongs to the loop's thread.
class PrefixMemory {
 public:
  void Record(const PromptPrefixes& prompt, MonoTime now);
  /// @return Tokens of the longest prefix of `prompt` that was recorded and is
  /// not too old.
  Tokens Find(const PromptPrefixes& prompt, MonoTime now) const;

 private:
  /// An engine's cache turns over in about this time under full load.
  static constexpr absl::Duration kLifetime = absl::Seconds(20);
  static constexpr size_t kCapacity = 2048;

  absl::flat_hash_map<uint64_t, MonoTime> used_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PREFIX_MEMORY_H_
