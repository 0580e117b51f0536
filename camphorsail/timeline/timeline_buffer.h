#ifndef CAMPHORSAIL_TIMELINE_TIMELINE_BUFFER_H_
#define CAMPHORSAIL_TIMELINE_TIMELINE_BUFFER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/timeline/timeline_event.h"
#include "camphorsail/timeline/timeline_filter.h"
#include "camphorsail/timeline/timeline_slice.h"

namespace camphorsail {

/// The latest events of one VM in a fixed number of slots. Memory is bounded:
/// long texts and lists are cut when an event is added.
///
/// Owned by `main`; thread-safe. Events go to the shards in turn, so that
/// threads rarely meet at a lock and all shards reach back equally far.
class TimelineBuffer {
 public:
  /// Bounds of one event.
  static constexpr size_t kMaxTextBytes = 256;
  static constexpr size_t kMaxInputs = 24;

  /// @param capacity Events kept; rounded up to a multiple of the shards.
  explicit TimelineBuffer(size_t capacity);
  TimelineBuffer(const TimelineBuffer&) = delete;
  TimelineBuffer& operator=(const TimelineBuffer&) = delete;

  /// Adds an event and overwrites the oldest of its shard when that is full.
  void Add(TimelineEvent event);

  /// @param limit Largest number of events; the newest are kept.
  /// @return The matching events in the order of their timestamps.
  TimelineSlice Query(const TimelineFilter& filter, size_t limit) const;

  /// @return Events overwritten since the start.
  uint64_t overwritten() const;

 private:
  static constexpr size_t kShardCount = 8;

  struct Shard {
    mutable absl::Mutex mutex;
    /// Ring; grows up to the capacity.
    std::vector<TimelineEvent> events ABSL_GUARDED_BY(mutex);
    /// Slot of the oldest event once the ring is full.
    size_t next ABSL_GUARDED_BY(mutex) = 0;
    uint64_t overwritten ABSL_GUARDED_BY(mutex) = 0;
    /// Largest timestamp that was overwritten.
    HybridTimestamp last_overwritten ABSL_GUARDED_BY(mutex);
  };

  const size_t shard_capacity_;
  std::atomic<size_t> next_shard_{0};
  std::vector<Shard> shards_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_TIMELINE_TIMELINE_BUFFER_H_
