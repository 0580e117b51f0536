#include "camphorsail/quarantine/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace camphorsail {

void CrashEvidence::Add(CrashId crash,
                        const PromptPartHashes& suspects,
                        bool is_repeated,
                        MonoTime at) {
  const auto [found, is_new] = crashes_.try_emplace(crash);
  Crash& entry = found->second;
  entry.at = is_new ? at : std::min(entry.at, at);
  entry.is_repeated = entry.is_repeated || is_repeated;
  for (const PromptPartHash part : suspects) {
    entry.suspects.try_emplace(part, false);
  }
  while (entry.suspects.size() > kMaxSuspects) {
    entry.suspects.erase(std::prev(entry.suspects.end()));
  }
  LimitSize();
}

void CrashEvidence::Clear(PromptPartHash part) {
  for (auto& [crash, entry] : crashes_) {
    if (const auto found = entry.suspects.find(part);
        found != entry.suspects.end()) {
      found->second = true;
    }
  }
}

void CrashEvidence::Clear(CrashId crash, PromptPartHash part) {
  const auto found = crashes_.find(crash);
  if (found == crashes_.end()) {
    return;
  }
  if (const auto suspect = found->second.suspects.find(part);
      suspect != found->second.suspects.end()) {
    suspect->second = true;
  }
}

void CrashEvidence::Merge(const std::vector<CrashRecord>& records,
                          MonoTime now) {
  for (const CrashRecord& record : records) {
    const absl::Duration age = absl::Milliseconds(record.age_ms);
    if (age >= kLifetime) {
      continue;
    }
    PromptPartHashes parts;
    for (const CrashSuspect& suspect : record.suspects) {
      parts.push_back(suspect.part);
    }
    Add(record.crash, parts, record.is_repeated, now - age);
    for (const CrashSuspect& suspect : record.suspects) {
      if (suspect.cleared) {
        Clear(record.crash, suspect.part);
      }
    }
  }
}

void CrashEvidence::Expire(MonoTime now) {
  std::erase_if(crashes_, [&](const auto& item) {
    return now - item.second.at >= kLifetime;
  });
}

std::vector<CrashRecord> CrashEvidence::Export(MonoTime now) const {
  std::vector<CrashRecord> records;
  records.reserve(crashes_.size());
  for (const auto& [crash, entry] : crashes_) {
    CrashRecord record;
    record.crash = crash;
    record.age_ms = static_cast<uint32_t>(
        std::clamp<int64_t>(absl::ToInt64Milliseconds(now - entry.at), 0,
                            std::numeric_limits<uint32_t>::max()));
    record.is_repeated = entry.is_repeated;
    for (const auto& [part, cleared] : entry.suspects) {
      record.suspects.push_back({part, cleared});
    }
    records.push_back(std::move(record));
  }
  return records;
}

uint64_t CrashEvidence::Digest() const {
  uint64_t digest = 0;
  for (const auto& [crash, entry] : crashes_) {
    digest = MixBits(digest ^ crash.value()) + (entry.is_repeated ? 1 : 0);
    for (const auto& [part, cleared] : entry.suspects) {
      digest = MixBits(digest ^ part.value()) + (cleared ? 1 : 0);
    }
  }
  return digest;
}

bool CrashEvidence::IsCleared(PromptPartHash part) const {
  bool is_suspect = false;
  for (const auto& [crash, entry] : crashes_) {
    if (entry.Accuses(part)) {
      return false;
    }
    is_suspect = is_suspect || entry.suspects.contains(part);
  }
  return is_suspect;
}

void CrashEvidence::LimitSize() {
  const auto accuses_nothing = [](const Crash& crash) {
    return std::all_of(crash.suspects.begin(), crash.suspects.end(),
                       [](const auto& suspect) { return suspect.second; });
  };
  while (crashes_.size() > kMaxCrashes) {
    crashes_.erase(std::min_element(
        crashes_.begin(), crashes_.end(), [&](const auto& a, const auto& b) {
          const bool a_is_idle = accuses_nothing(a.second);
          const bool b_is_idle = accuses_nothing(b.second);
          return a_is_idle != b_is_idle ? a_is_idle : a.second.at < b.second.at;
        }));
  }
}

}  // namespace camphorsail
