#ifndef CAMPHORSAIL_SCHEDULING_POOL_H_
#define CAMPHORSAIL_SCHEDULING_POOL_H_

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "camphorsail/scheduling/demand_estimator.h"
#include "camphorsail/scheduling/fair_queue.h"
#include "camphorsail/scheduling/guaranteed_share.h"
#include "camphorsail/scheduling/prefix_index.h"
#include "camphorsail/scheduling/request_state.h"
#include "camphorsail/scheduling/server_pool.h"
#include "camphorsail/scheduling/speed_estimate.h"
#include "camphorsail/scheduling/tier_gate.h"

namespace camphorsail {

/// A group of servers of one kind that are connected by shared targets, with
/// the requests that wait for them or run on them and the state from which
/// admission is decided. Owned by the `Scheduler`.
struct Pool {
  Pool(ServerKind pool_kind,
       ModelId pool_target,
       double seconds_per_token,
       double seconds_per_prompt_token)
      : kind(pool_kind),
        target(std::move(pool_target)),
        speed(seconds_per_token, seconds_per_prompt_token) {}

  /// Waiting requests of one class, in order of arrival, and the guaranteed
  /// share of the class.
  struct ClassQueue {
    IntrusiveList<RequestState, ClassTag> waiting;
    GuaranteedShare share;
    double share_ratio = 0.01;
    Tier tier{3};
    ClassId class_id;
    /// True when a request of the class was accepted without use of its
    /// guaranteed share since the last digest.
    bool beyond_guarantee = false;

    ~ClassQueue() {
      while (RequestState* request = waiting.Front()) {
        waiting.Remove(request);
      }
    }
  };

  /// @return Largest fraction of its slack that the oldest waiting request of
  /// any class of the tier has used. The cost grows with the number of classes,
  /// not of requests.
  double MaxSlackUsed(Tier tier, MonoTime now) const {
    double longest = 0;
    for (const auto& [index, class_queue] : classes) {
      const RequestState* head = class_queue.waiting.Front();
      if (class_queue.tier == tier && head != nullptr) {
        longest = std::max(
            longest, absl::FDivDuration(head->WaitTime(now), head->Slack()));
      }
    }
    return longest;
  }

  ServerKind kind;
  ModelId target;
  ServerPool servers;
  FairQueue queue;
  DemandEstimator demand;
  SpeedEstimate speed;
  TierGate gate;
  PrefixIndex prefixes;
  /// Classes by dense class index, so that iteration has a fixed order.
  std::map<int, ClassQueue> classes;
  /// Waiting requests that were never dispatched, ordered by their latest
  /// start.
  absl::btree_set<std::pair<MonoTime, RequestId>> waiting_by_latest_start;
  /// Classes whose guaranteed share has enough credit and whose oldest request
  /// has waited long; recomputed on each tick.
  std::vector<int> due_classes;
  /// Slot-seconds planned for the requests in progress, per tier.
  std::array<double, kTierCount> running_work{};
  /// Requests in progress, per tier.
  std::array<int, kTierCount> running{};
  /// Expected output tokens of the requests that wait or run, per tier; in a
  /// pool of services, milliseconds.
  std::array<int64_t, kTierCount> outstanding{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_POOL_H_
