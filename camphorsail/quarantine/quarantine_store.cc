#include "camphorsail/quarantine/quarantine_store.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {
namespace {

using ReleaseTimes = std::vector<std::pair<QuarantineId, int64_t>>;

}  // namespace

Expected<void> QuarantineStore::Apply(const QuarantineChange& change,
                                      absl::Time now) {
  constexpr size_t kMaxParts = 64;
  if (change.parts.empty() || change.parts.size() > kMaxParts ||
      !std::is_sorted(change.parts.begin(), change.parts.end())) {
    return Fail(ErrorKind::kInvalidRequest,
                "quarantine: the parts must be sorted, at least one and at "
                "most 64");
  }
  std::erase_if(released_, [&](const auto& item) {
    return now - absl::FromUnixMicros(item.second) >= kReleaseTime;
  });
  switch (static_cast<QuarantineAction>(change.action)) {
    case QuarantineAction::kAdd:
      Add(change, now);
      return {};
    case QuarantineAction::kRelease:
      Release(change, now);
      return {};
    case QuarantineAction::kTrial:
      GrantTrial(change, now);
      return {};
  }
  return Fail(ErrorKind::kInvalidRequest,
              absl::StrCat("quarantine: unknown action ", change.action));
}

void QuarantineStore::Add(const QuarantineChange& change, absl::Time now) {
  const QuarantineId id = QuarantineIdOf(change.parts);
  if (entries_.contains(id) || released_.contains(id)) {
    return;
  }
  QuarantineEntry entry;
  entry.id = id;
  entry.parts = change.parts;
  entry.crashes = change.crashes;
  entry.since_micros = absl::ToUnixMicros(now);
  entry.trial_at_micros = absl::ToUnixMicros(now + kFirstTrialAfter);
  entries_.emplace(id, std::move(entry));
  if (entries_.size() > kMaxEntries) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return a.second.since_micros < b.second.since_micros;
        }));
  }
  ++version_;
}

void QuarantineStore::Release(const QuarantineChange& change, absl::Time now) {
  std::vector<QuarantineEntry> narrowed;
  const size_t before = entries_.size();
  for (auto item = entries_.begin(); item != entries_.end();) {
    QuarantineEntry entry = item->second;
    std::erase_if(entry.parts, [&](PromptPartHash part) {
      return std::binary_search(change.parts.begin(), change.parts.end(), part);
    });
    if (entry.parts.size() == item->second.parts.size()) {
      ++item;
      continue;
    }
    released_[item->first] = absl::ToUnixMicros(now);
    item = entries_.erase(item);
    if (!entry.parts.empty()) {
      entry.id = QuarantineIdOf(entry.parts);
      narrowed.push_back(std::move(entry));
    }
  }
  if (entries_.size() == before) {
    return;
  }
  for (QuarantineEntry& entry : narrowed) {
    const QuarantineId id = entry.id;
    entries_.try_emplace(id, std::move(entry));
  }
  ++version_;
}

void QuarantineStore::GrantTrial(const QuarantineChange& change,
                                 absl::Time now) {
  const auto found = entries_.find(QuarantineIdOf(change.parts));
  if (found == entries_.end() ||
      absl::ToUnixMicros(now) < found->second.trial_at_micros) {
    return;
  }
  QuarantineEntry& entry = found->second;
  ++entry.trials;
  entry.trial_vm = change.gateway;
  entry.trial_process = change.process;
  entry.trial_at_micros = absl::ToUnixMicros(
      now + kFirstTrialAfter * (1 << std::min(entry.trials, kMaxDoublings)));
  ++version_;
}

const QuarantineEntry* QuarantineStore::Find(QuarantineId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<QuarantineEntry> QuarantineStore::Entries() const {
  std::vector<QuarantineEntry> entries;
  entries.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    entries.push_back(entry);
  }
  return entries;
}

std::string QuarantineStore::Snapshot() const {
  // Maps are not accepted in MessagePack that is read.
  const ReleaseTimes released(released_.begin(), released_.end());
  return PackBytes(std::make_tuple(version_, Entries(), released));
}

Expected<QuarantineStore> QuarantineStore::Restore(std::string_view bytes) {
  using Fields =
      std::tuple<uint64_t, std::vector<QuarantineEntry>, ReleaseTimes>;
  Expected<Fields> fields = UnpackBytes<Fields>(bytes);
  if (!fields) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("quarantine: ", fields.error().message));
  }
  QuarantineStore store;
  store.version_ = std::get<0>(*fields);
  for (QuarantineEntry& entry : std::get<1>(*fields)) {
    const QuarantineId id = entry.id;
    store.entries_.emplace(id, std::move(entry));
  }
  store.released_.insert(std::get<2>(*fields).begin(),
                         std::get<2>(*fields).end());
  return store;
}

}  // namespace camphorsail
