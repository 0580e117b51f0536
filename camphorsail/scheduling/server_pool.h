#ifndef CAMPHORSAIL_SCHEDULING_SERVER_POOL_H_
#define CAMPHORSAIL_SCHEDULING_SERVER_POOL_H_

#include <array>
#include <vector>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/random.h"
#include "camphorsail/scheduling/server_state.h"

namespace camphorsail {

/// The servers of one `Pool`, with random sampling in constant time of those
/// that are vacant for a tier. A server is vacant for a tier when this VM's
/// requests on it in that tier and the tiers above are fewer than it may hold.
/// A server that is vacant for the lowest tier has a free slot; on a server
/// that is vacant only for higher tiers, lower-tier work has to be preempted.
/// Does not own the servers. Guarded by the lock of the scheduler's shard.
class ServerPool {
 public:
  void Add(ServerState* server, MonoTime now);
  void Remove(ServerState* server);
  /// Recomputes the server's limit, its part of the sums and its place in the
  /// vacancy lists. Called after each change of the server's load, health or
  /// slots.
  void Update(ServerState* server, MonoTime now);

  bool empty() const { return members_.empty(); }
  const std::vector<ServerState*>& members() const { return members_; }
  /// @return A random server that is vacant for `tier`; null when there is
  /// none.
  ServerState* SampleVacant(Tier tier, Random* random) const;
  /// @return Number of requests that this VM may hold on all servers, as
  /// limited by their health.
  int total_slots() const { return total_slots_; }
  /// @return This VM's free slots on all servers; a server with more requests
  /// than slots counts as zero.
  int free_slots() const { return free_slots_; }
  /// @return Number of this VM's requests beyond its slots on servers that are
  /// not outliers. This many lower-tier requests are preempted.
  int preempted_requests() const { return preempted_requests_; }

 private:
  void SetVacant(ServerState* server, int tier, bool vacant);

  std::vector<ServerState*> members_;
  std::array<std::vector<ServerState*>, kTierCount> vacant_;
  int total_slots_ = 0;
  int free_slots_ = 0;
  int preempted_requests_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_SERVER_POOL_H_
