#ifndef CAMPHORSAIL_SCHEDULING_REQUEST_STATE_H_
#define CAMPHORSAIL_SCHEDULING_REQUEST_STATE_H_

#include <cstdint>

#include "camphorsail/base/intrusive_list.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

class ServerState;
struct Pool;

struct QueueTag {};
struct ClassTag {};

/// State of a request that waits or runs. Owned by the `Scheduler`.
struct RequestState : IntrusiveListNode<QueueTag>, IntrusiveListNode<ClassTag> {
  RequestDescriptor descriptor;
  Pool* pool = nullptr;
  /// Dense indexes within the scheduler.
  int account = 0;
  int class_index = 0;
  int account_class = 0;
  int target = 0;
  /// Size band within its account's queue.
  int band = 0;
  /// Total answer length from which `latest_start` is calculated. For a service
  /// call, its duration in milliseconds.
  Tokens planned;
  /// Expected total answer length; for a service call, its duration in
  /// milliseconds.
  Tokens expected;
  /// Slot-seconds that the request is expected to need from now on.
  double work = 0;
  /// Slot-seconds charged to the guaranteed share of its class at the first
  /// dispatch.
  double charged_work = 0;
  /// Latest time of dispatch at which the request still meets its targets.
  MonoTime latest_start;
  bool queued = false;
  /// True after the first dispatch. An accepted request is never refused for
  /// lack of capacity.
  bool accepted = false;

  // State of the current attempt; `server` is null while none is running.
  ServerState* server = nullptr;
  AttemptNumber attempt{0};
  /// Tier in which the attempt runs. One above the request's own tier, if there
  /// is one, in the attempt that was dispatched from the guaranteed share.
  Tier effective_tier{3};
  MonoTime dispatched_at;
  MonoTime last_token_at;
  /// Output tokens of the current attempt and of all attempts.
  Tokens attempt_tokens;
  Tokens received;
  /// Estimated number of prompt tokens that the server has to compute.
  Tokens uncached_prompt_tokens;

  /// @return Time that the request has waited since its arrival.
  absl::Duration WaitTime(MonoTime now) const {
    return now - descriptor.arrival;
  }
  /// @return Longest time that the request may wait after its arrival and still
  /// meet its targets.
  absl::Duration Slack() const { return latest_start - descriptor.arrival; }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_REQUEST_STATE_H_
