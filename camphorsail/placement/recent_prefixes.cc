#include "camphorsail/placement/recent_prefixes.h"

#include "camphorsail/base/fnv_hash.h"

namespace camphorsail {

PromptPrefixes PromptPrefixes::Of(const std::string& model,
                                  const std::vector<PromptPart>& parts) {
  PromptPrefixes result;
  uint64_t hash = Fnv1a64(model);
  Tokens tokens;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    // Without the separator, the ids "a" and "b" would hash like the one id
    // "ab".
    hash = Fnv1a64(",", Fnv1a64(parts[i].id, hash));
    tokens = tokens + parts[i].tokens;
    result.prefixes.push_back({MixBits(hash), tokens});
  }
  return result;
}

void RecentPrefixes::Record(const PromptPrefixes& prompt, MonoTime now) {
  if (last_used_at_.size() >= kCapacity) {
    absl::erase_if(last_used_at_, [&](const auto& item) {
      return now - item.second >= kLifetime;
    });
    if (last_used_at_.size() >= kCapacity) {
      last_used_at_.clear();
    }
  }
  for (const PromptPrefixes::Prefix& prefix : prompt.prefixes) {
    last_used_at_[prefix.hash] = now;
  }
}

Tokens RecentPrefixes::Find(const PromptPrefixes& prompt, MonoTime now) const {
  for (size_t i = prompt.prefixes.size(); i > 0; --i) {
    const PromptPrefixes::Prefix& prefix = prompt.prefixes[i - 1];
    const auto found = last_used_at_.find(prefix.hash);
    if (found != last_used_at_.end() && now - found->second < kLifetime) {
      return prefix.tokens;
    }
  }
  return Tokens(0);
}

}  // namespace camphorsail
