#ifndef CAMPHORSAIL_SCHEDULING_SERVER_STATE_H_
#define CAMPHORSAIL_SCHEDULING_SERVER_STATE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/scheduling/health_tracker.h"
#include "camphorsail/scheduling/scheduler_types.h"

namespace camphorsail {

struct Pool;

/// What one VM knows about one incarnation of a backend server. The number of
/// the VM's own requests on the server is exact; the number of other VMs'
/// requests is derived from reports that arrive with a delay. Guarded by the
/// lock of the scheduler's shard.
class ServerState {
 public:
  ServerState(const ServerView& view, HealthVariant health);

  /// Applies the capacity and load of a newer view.
  void ApplyView(const ServerView& view);
  void OnDispatch(Tier tier, MonoTime now);
  void OnFinished(Tier tier, MonoTime now);

  /// Measures the time per token of the streams from this server. Observations
  /// are collected over several calls: tokens arrive in whole batch steps, so
  /// a few tokens give an inaccurate value.
  /// @param gap Time since the previous tokens of the stream.
  /// @param tokens Tokens received now.
  /// @param seconds_per_token Set when enough tokens were collected.
  /// @return True when `seconds_per_token` was set.
  bool ObserveTokens(absl::Duration gap,
                     Tokens tokens,
                     double* seconds_per_token);

  /// @return Number of this VM's requests on the server in `tier` and the tiers
  /// above it.
  int OwnRequests(Tier tier) const;
  int own_request_count() const { return own_request_count_; }
  bool Serves(int target) const {
    return std::find(targets.begin(), targets.end(), target) != targets.end();
  }
  /// @return Estimated number of other VMs' requests on the server: the
  /// reported number minus this VM's own at the time of the report, with a
  /// weight that decreases with the report's age.
  double OtherVmsRequests(MonoTime now) const;
  /// @return Estimated number of all requests on the server, divided by its
  /// capacity.
  double Load(MonoTime now) const {
    return (own_request_count_ + OtherVmsRequests(now)) / capacity;
  }

  BackendServerId id;
  Incarnation incarnation;
  FailureDomainId failure_domain;
  /// Dense indexes of the targets that the server answers now.
  std::vector<int> targets;
  /// The pool that has the server as a member; null when there is none. The
  /// targets cannot be used to find it, because a server may change them.
  Pool* pool = nullptr;
  int capacity = 1;
  /// Number of requests that this VM may hold on the server: its part of
  /// `capacity`.
  int slots = 1;
  /// `slots` as limited by the server's health at the last update of the
  /// vacancy lists.
  int slot_limit = 1;
  HealthTracker health;
  /// True when the server gets no new requests; those in progress may finish.
  bool removed = false;
  /// Seconds per token as reported by the server; 0 when it reports none.
  double reported_seconds_per_token = 0;
  /// Position in the pool's list of vacant servers of each tier; -1 when not in
  /// the list.
  std::array<int, kTierCount> vacant_position = {-1, -1, -1, -1};
  /// Position in the pool's list of members; -1 when not in the list.
  int member_position = -1;
  /// Free slots of this server that are included in the pool's sum.
  int counted_free_slots = 0;
  /// Preempted requests of this server that are included in the pool's sum.
  int counted_preempted_requests = 0;

 private:
  /// Number of this VM's requests on the server at a past time.
  struct Sample {
    MonoTime at;
    int own_requests = 0;
  };
  /// 32 samples 50 ms apart cover reports that are up to 1.6 s old.
  static constexpr int kSampleCount = 32;

  void RecordSample(MonoTime now);
  /// @return This VM's requests on the server at the time `at`; the oldest
  /// sample when there is none from that time.
  int OwnRequestsAt(MonoTime at) const;

  /// This VM's requests on the server, per tier.
  std::array<int, kTierCount> own_requests_{};
  /// Time and tokens collected by `ObserveTokens` since it last returned true.
  double observed_seconds_ = 0;
  int64_t observed_tokens_ = 0;
  int own_request_count_ = 0;
  int reported_requests_ = 0;
  int own_requests_at_report_ = 0;
  MonoTime reported_at_;
  std::array<Sample, kSampleCount> samples_{};
  int next_sample_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SERVER_STATE_H_
