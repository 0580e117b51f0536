#ifndef CAMPHORSAIL_SCHEDULING_ADMISSION_CONTROLLER_H_
#define CAMPHORSAIL_SCHEDULING_ADMISSION_CONTROLLER_H_

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/scheduling/pool.h"

namespace camphorsail {

/// Calculates whether a request can be answered completely and within its
/// targets, given the requests that were accepted before. Stateless; works on a
/// `Pool`. Work is measured in slot-seconds: one request that runs on a server
/// for one second uses one slot-second.
class AdmissionController {
 public:
  /// Upper bound of a request's slack, from which its latest start follows, so
  /// that the planned wait before the first dispatch is bounded for every class
  /// whatever its targets are. A request may wait past its latest start until
  /// its first-token target has passed; see `Scheduler::Expire`.
  static constexpr absl::Duration kMaxWait = absl::Seconds(10);
  /// A class with enough credit of its guaranteed share is dispatched before
  /// higher tiers once its oldest request has used this fraction of its slack.
  /// Each such dispatch takes one slot from the higher tiers for one request,
  /// a delay that their slack covers.
  static constexpr double kAgingFraction = 0.25;

  /// @return Slot-seconds that the request still needs when its answer has
  /// `length` tokens in total.
  static double RemainingWork(const Pool& pool,
                              const RequestState& request,
                              Tokens length);
  /// @return Slot-seconds that a completed request has used: its prompt,
  /// counted once, and the output tokens of all its attempts.
  static double TotalWork(const Pool& pool, const RequestState& request);
  /// @return Latest time of dispatch at which the request meets both targets.
  static MonoTime LatestStart(const Pool& pool, const RequestState& request);
  /// @return Expected wait of a request of `tier` that arrives now.
  static absl::Duration PredictedWait(const Pool& pool, Tier tier);
  /// @return Free slots that `tier` must leave for expected requests of higher
  /// tiers.
  static int ReservedSlots(const Pool& pool, Tier tier);
  /// @return True when the accepted requests of the request's tier and this
  /// request finish on time even if the higher tiers reach their recent peak.
  static bool FitsBelowPeak(const Pool& pool,
                            const RequestState& request,
                            MonoTime now);
  /// @return Time after which a request like this one will probably be
  /// accepted, in whole seconds.
  static absl::Duration RetryAfter(const Pool& pool,
                                   const RequestState& request,
                                   MonoTime now);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_ADMISSION_CONTROLLER_H_
