#include "camphorsail/scheduling/prefix_index.h"

#include <algorithm>

namespace camphorsail {

void PrefixIndex::Record(const std::vector<uint64_t>& hashes,
                         ServerState* server,
                         MonoTime now) {
  for (const uint64_t hash : hashes) {
    const auto [it, inserted] = entries_.try_emplace(hash);
    it->second = {server, now};
    if (!inserted) {
      continue;
    }
    if (ring_.size() < kMaxEntries) {
      ring_.push_back(hash);
    } else {
      entries_.erase(ring_[next_]);
      ring_[next_] = hash;
      next_ = (next_ + 1) % kMaxEntries;
    }
  }
}

void PrefixIndex::Evict(const std::vector<uint64_t>& hashes,
                        const ServerState* server) {
  for (const uint64_t hash : hashes) {
    const auto it = entries_.find(hash);
    if (it != entries_.end() && it->second.server == server) {
      it->second.server = nullptr;
    }
  }
}

PrefixIndex::Hit PrefixIndex::Find(const std::vector<uint64_t>& hashes,
                                   MonoTime now) const {
  const int count = static_cast<int>(hashes.size());
  for (int i = count - 1; i >= std::max(0, count - kMaxLookups); --i) {
    const auto it = entries_.find(hashes[i]);
    if (it == entries_.end() || it->second.server == nullptr) {
      continue;
    }
    const double age = absl::FDivDuration(now - it->second.at, kLifetime);
    if (age < 1) {
      return {it->second.server, (i + 1.0) / count * (1 - age)};
    }
  }
  return {};
}

void PrefixIndex::OnCacheEventsLost(const ServerState* server, MonoTime now) {
  for (auto& [hash, entry] : entries_) {
    if (entry.server == server) {
      entry.at = std::min(entry.at, now - kLifetime / 2);
    }
  }
}

void PrefixIndex::RemoveServer(const ServerState* server) {
  for (auto& [hash, entry] : entries_) {
    if (entry.server == server) {
      entry.server = nullptr;
    }
  }
}

}  // namespace camphorsail
