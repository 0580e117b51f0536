#ifndef CAMPHORSAIL_RUNTIME_TIMELINE_COLLECTOR_H_
#define CAMPHORSAIL_RUNTIME_TIMELINE_COLLECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/timeline/timeline_buffer.h"
#include "camphorsail/timeline/timeline_filter.h"

namespace camphorsail {

/// Answers timeline queries over all VMs: asks each peer for its slice and
/// merges the slices with that of this VM. Owned by the daemon; thread-safe.
class TimelineCollector {
 public:
  struct Result {
    TimelineSlice slice;
    /// Peers that did not answer in time.
    std::vector<VmId> unreachable_vms;
  };
  /// Sends a payload to a peer; false when it cannot be queued.
  using Send = std::function<bool(const VmId& to, std::string payload)>;

  TimelineCollector(const TimelineBuffer* buffer,
                    std::vector<VmId> peers,
                    Send send);

  /// Waits for the peers, at most `kTimeout`.
  /// @param limit Largest number of events; the newest are kept.
  Result Query(const TimelineFilter& filter, size_t limit);

  /// Handles a query or an answer of a peer.
  void OnMessage(const VmId& from, const std::string& payload);

 private:
  static constexpr absl::Duration kTimeout = absl::Seconds(2);

  struct Pending {
    std::set<VmId> waiting_for;
    std::vector<TimelineSlice> slices;
  };

  const TimelineBuffer* const buffer_;
  const std::vector<VmId> peers_;
  const Send send_;
  absl::Mutex mutex_;
  uint64_t next_query_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<uint64_t, Pending> pending_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_TIMELINE_COLLECTOR_H_
