#include "camphorsail/quarantine/crash_evidence.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace camphorsail {
namespace {

/// Parts whose answers are remembered.
constexpr size_t kMaxClearedParts = 1024;

}  // namespace

void CrashEvidence::Add(CrashId crash,
                        const PromptPartHashes& suspects,
                        bool is_repeated,
                        MonoTime at) {
  const auto [found, is_new] = crashes_.try_emplace(crash);
  Crash& entry = found->second;
  entry.at = is_new ? at : std::min(entry.at, at);
  entry.is_repeated = entry.is_repeated || is_repeated;
  entry.suspects.insert(suspects.begin(), suspects.end());
  while (entry.suspects.size() > kMaxSuspects) {
    entry.suspects.erase(std::prev(entry.suspects.end()));
  }
  LimitSize();
}

void CrashEvidence::Clear(PromptPartHash part, MonoTime at) {
  MonoTime& until = cleared_until_.try_emplace(part, at).first->second;
  until = std::max(until, at);
  while (cleared_until_.size() > kMaxClearedParts) {
    cleared_until_.erase(std::min_element(
        cleared_until_.begin(), cleared_until_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool CrashEvidence::IsClearedOf(const Crash& crash, PromptPartHash part) const {
  const auto found = cleared_until_.find(part);
  return found != cleared_until_.end() && found->second >= crash.at;
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
      if (suspect.cleared) {
        const auto known = crashes_.find(record.crash);
        Clear(suspect.part, known == crashes_.end()
                                ? now - age
                                : std::max(now - age, known->second.at));
      }
    }
    Add(record.crash, parts, record.is_repeated, now - age);
  }
}

void CrashEvidence::Expire(MonoTime now) {
  std::erase_if(crashes_, [&](const auto& item) {
    return now - item.second.at >= kLifetime;
  });
  std::erase_if(cleared_until_, [&](const auto& item) {
    return now - item.second >= kLifetime;
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
    for (const PromptPartHash part : entry.suspects) {
      record.suspects.push_back({part, IsClearedOf(entry, part)});
    }
    records.push_back(std::move(record));
  }
  return records;
}

uint64_t CrashEvidence::Digest() const {
  uint64_t digest = 0;
  for (const auto& [crash, entry] : crashes_) {
    digest = MixBits(digest ^ crash.value()) + (entry.is_repeated ? 1 : 0);
    for (const PromptPartHash part : entry.suspects) {
      digest =
          MixBits(digest ^ part.value()) + (IsClearedOf(entry, part) ? 1 : 0);
    }
  }
  return digest;
}

bool CrashEvidence::IsCleared(PromptPartHash part) const {
  bool is_suspect = false;
  for (const auto& [crash, entry] : crashes_) {
    if (Accuses(entry, part)) {
      return false;
    }
    is_suspect = is_suspect || entry.suspects.contains(part);
  }
  return is_suspect;
}

void CrashEvidence::LimitSize() {
  const auto accuses_nothing = [this](const Crash& crash) {
    return std::all_of(
        crash.suspects.begin(), crash.suspects.end(),
        [&](PromptPartHash part) { return IsClearedOf(crash, part); });
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
