#ifndef CAMPHORSAIL_SCHEDULING_ROUTER_H_
#define CAMPHORSAIL_SCHEDULING_ROUTER_H_

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/random.h"
#include "camphorsail/scheduling/pool.h"

namespace camphorsail {

/// Chooses the server with the earliest expected end of the answer among a few
/// random candidates and the server that probably caches the prompt's prefix.
/// The cost of a decision does not depend on the number of servers. Owned by a
/// `Scheduler`; guarded by its lock.
class Router {
 public:
  /// @param domain Failure domain of this VM. Its servers are preferred when
  /// others are about as good.
  /// @param candidates Random candidates per decision.
  /// @param seed Seed for the choice of candidates.
  Router(FailureDomainId domain, int candidates, uint64_t seed)
      : domain_(std::move(domain)), candidates_(candidates), random_(seed) {}

  /// @param tier Tier in which the request will run.
  /// @param preempt True when lower-tier work on a full server may be
  /// preempted.
  /// @return The chosen server; null when no examined server can take the
  /// request now and finish it on time.
  ServerState* Choose(const Pool& pool,
                      const RequestState& request,
                      Tier tier,
                      bool preempt,
                      MonoTime now);

 private:
  /// @param cached_fraction Fraction of the prompt that the server probably has
  /// in its cache.
  /// @return Expected seconds to the end of the answer, with penalties;
  /// negative when the server must not be used.
  double Score(const Pool& pool,
               const RequestState& request,
               const ServerState& server,
               double cached_fraction,
               MonoTime now) const;

  FailureDomainId domain_;
  int candidates_;
  Random random_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_ROUTER_H_
