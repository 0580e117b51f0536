#include "camphorsail/timeline/timeline_buffer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "camphorsail/timeline/merge_timelines.h"

namespace camphorsail {
namespace {

/// Cuts `text` at a character boundary of UTF-8.
void Cut(std::string* text) {
  if (text->size() <= TimelineBuffer::kMaxTextBytes) {
    return;
  }
  size_t size = TimelineBuffer::kMaxTextBytes;
  while (size > 0 &&
         (static_cast<unsigned char>((*text)[size]) & 0xc0) == 0x80) {
    --size;
  }
  text->resize(size);
  text->shrink_to_fit();
}

}  // namespace

TimelineBuffer::TimelineBuffer(size_t capacity)
    : shard_capacity_(
          std::max<size_t>(1, (capacity + kShardCount - 1) / kShardCount)),
      shards_(kShardCount) {}

void TimelineBuffer::Add(TimelineEvent event) {
  Cut(&event.reason);
  if (event.inputs.size() > kMaxInputs) {
    event.inputs.resize(kMaxInputs);
  }
  for (auto& [name, value] : event.inputs) {
    Cut(&name);
    Cut(&value);
  }
  Shard& shard = shards_[next_shard_.fetch_add(1, std::memory_order_relaxed) %
                         kShardCount];
  absl::MutexLock lock(&shard.mutex);
  if (shard.events.size() < shard_capacity_) {
    shard.events.push_back(std::move(event));
    return;
  }
  TimelineEvent& oldest = shard.events[shard.next];
  shard.last_overwritten = std::max(shard.last_overwritten, oldest.time);
  ++shard.overwritten;
  oldest = std::move(event);
  shard.next = (shard.next + 1) % shard_capacity_;
}

TimelineSlice TimelineBuffer::Query(const TimelineFilter& filter,
                                    size_t limit) const {
  TimelineSlice slice;
  for (const Shard& shard : shards_) {
    absl::MutexLock lock(&shard.mutex);
    slice.overwritten += shard.overwritten;
    slice.complete_after =
        std::max(slice.complete_after, shard.last_overwritten);
    for (const TimelineEvent& event : shard.events) {
      if (filter.Matches(event)) {
        slice.events.push_back(event);
      }
    }
  }
  return MergeTimelines({std::move(slice)}, filter, limit);
}

uint64_t TimelineBuffer::overwritten() const {
  uint64_t total = 0;
  for (const Shard& shard : shards_) {
    absl::MutexLock lock(&shard.mutex);
    total += shard.overwritten;
  }
  return total;
}

}  // namespace camphorsail
