#ifndef CAMPHORSAIL_PLACEMENT_RECENT_PREFIXES_H_
#define CAMPHORSAIL_PLACEMENT_RECENT_PREFIXES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/placement/prompt_part.h"

namespace camphorsail {

/// The prefixes of a prompt that other requests may share: one prefix ends
/// after each part of the prompt but the last.
struct PromptPrefixes {
  struct Prefix {
    /// Hash of the model and of the ids of all parts of the prefix.
    uint64_t hash = 0;
    /// Length of the prefix.
    Tokens tokens;
  };
  /// Ordered from the shortest to the longest.
  std::vector<Prefix> prefixes;

  /// @param model Included in the hashes, because engines cache per model.
  /// @param parts The parts of the prompt in their order.
  static PromptPrefixes Of(const std::string& model,
                           const std::vector<PromptPart>& parts);
};

/// The prompt prefixes that this gateway has recently sent to one engine and
/// that the engine therefore probably has cached. The number of entries is
/// bounded. Not thread-safe; used on the event loop's thread only.
class RecentPrefixes {
 public:
  /// Records that a prompt with these prefixes was sent to the engine.
  void Record(const PromptPrefixes& prompt, MonoTime now);
  /// @return Length of the longest prefix of `prompt` that was recorded within
  /// the lifetime of an entry; 0 when there is none.
  Tokens Find(const PromptPrefixes& prompt, MonoTime now) const;

 private:
  /// Time in which a fully loaded engine replaces the contents of its cache.
  static constexpr absl::Duration kLifetime = absl::Seconds(20);
  static constexpr size_t kCapacity = 2048;

  /// Time of the latest use of each prefix, by hash.
  absl::flat_hash_map<uint64_t, MonoTime> last_used_at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_RECENT_PREFIXES_H_
