#ifndef CAMPHORSAIL_SCHEDULING_FAIR_QUEUE_H_
#define CAMPHORSAIL_SCHEDULING_FAIR_QUEUE_H_

#include <array>
#include <memory>
#include <utility>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "camphorsail/scheduling/request_state.h"

namespace camphorsail {

/// The waiting requests of one pool. Within a tier, the account that has
/// received the least work in proportion to its weight is next (start-time fair
/// queueing). Within an account, shorter requests go first until a longer one
/// has used half of its slack. Owned by a `Pool`; guarded by the scheduler's
/// lock.
class FairQueue {
 public:
  static constexpr int kBandCount = 8;
  /// @param expected Expected answer length; see `LengthEstimator` for service
  /// calls.
  /// @return Index of the size band. Band 0 holds up to 32 tokens; the upper
  /// limit doubles with each band.
  static int BandOf(Tokens expected);

  ~FairQueue();

  void Push(RequestState* request);
  /// Removes a request that is dispatched, refused or abandoned.
  void Remove(RequestState* request);
  /// @return The tier's next request; null when none waits.
  RequestState* Peek(Tier tier, MonoTime now) const;
  /// Advances the virtual time of the request's account by the dispatched work.
  void Charge(const RequestState& request);

  /// @return Slot-seconds of the requests that wait in `tier` and the tiers
  /// above it.
  double WorkUpTo(Tier tier) const;
  int size(Tier tier) const { return tiers_[tier.value()].size; }

 private:
  using List = IntrusiveList<RequestState, QueueTag>;
  /// Waiting requests of one account in one tier.
  struct Flow {
    int account = 0;
    double virtual_time = 0;
    double weight = 1;
    int size = 0;
    std::array<List, kBandCount> bands;
  };
  struct TierQueue {
    absl::flat_hash_map<int, std::unique_ptr<Flow>> flows;
    /// Accounts with waiting requests, ordered by virtual time.
    absl::btree_set<std::pair<double, int>> backlogged;
    /// Accepted requests that are sent again after a failed attempt; they go
    /// before all others.
    List retried;
    double virtual_time = 0;
    double work = 0;
    int size = 0;
  };

  std::array<TierQueue, kTierCount> tiers_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_FAIR_QUEUE_H_
