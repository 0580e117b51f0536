#include "camphorsail/scheduling/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace camphorsail {
namespace {

// Reserve for network delay and for the wait for the engine's next batch step.
constexpr absl::Duration kDelayMargin = absl::Milliseconds(100);
// A request whose planned length leaves no slack may still wait this fraction
// of its first-token target for a free slot.
constexpr double kMinSlackFraction = 0.25;
// Fraction of the slots that is available to a lower tier even when the higher
// tiers demand all of them, because of the guaranteed shares. It keeps the
// predicted wait finite.
constexpr double kMinAvailableFraction = 0.05;
// Accepted work must finish within this fraction of the remaining time to the
// total target while the higher tiers are at their peak.
constexpr double kPeakTimeFraction = 0.8;

// Assumed duration of a burst of the higher tiers. A request that is still on
// time after a preemption of this length is accepted whatever the peak of the
// higher tiers is.
constexpr absl::Duration kBurstDuration = absl::Seconds(20);
// Time in which a burst builds up. A request that finishes in less time is
// rarely preempted.
constexpr absl::Duration kBurstRiseTime = absl::Seconds(2);
// The standard deviation of the number of higher-tier requests in progress is
// about its square root. This many standard deviations of slots are kept free,
// up to the fraction `kMaxReserveFraction` of all slots.
constexpr double kReserveDeviations = 2;
constexpr double kMaxReserveFraction = 0.15;

// Returns the slots that remain for a tier when the tiers above it use
// `higher` slots.
double AvailableSlots(const Pool& pool, double higher) {
  const double slots = pool.servers.total_slots();
  return std::max(slots * kMinAvailableFraction, slots - higher);
}

}  // namespace

double AdmissionController::RemainingWork(const Pool& pool,
                                          const RequestState& request,
                                          Tokens length) {
  if (pool.kind == ServerKind::kService) {
    return static_cast<double>(length.value()) / 1000;
  }
  return static_cast<double>(request.descriptor.prompt_tokens.value()) *
             pool.speed.per_prompt_token() +
         static_cast<double>((length - request.received).value()) *
             pool.speed.planned();
}

double AdmissionController::TotalWork(const Pool& pool,
                                      const RequestState& request) {
  // `RemainingWork` subtracts the received tokens once.
  return RemainingWork(pool, request, request.received + request.received);
}

MonoTime AdmissionController::LatestStart(const Pool& pool,
                                          const RequestState& request) {
  const RequestDescriptor& descriptor = request.descriptor;
  const double prompt_seconds =
      pool.kind == ServerKind::kService
          ? 0
          : static_cast<double>(descriptor.prompt_tokens.value()) *
                pool.speed.per_prompt_token();
  const absl::Duration first_token_slack =
      pool.kind == ServerKind::kService
          ? descriptor.total_target
          : descriptor.ttft_target -
                absl::Seconds(prompt_seconds + pool.speed.planned());
  const absl::Duration total_slack =
      descriptor.total_target -
      absl::Seconds(RemainingWork(pool, request, request.planned));
  const absl::Duration slack =
      std::max(std::min(first_token_slack, total_slack) - kDelayMargin,
               descriptor.ttft_target * kMinSlackFraction);
  return descriptor.arrival + std::min(slack, kMaxWait);
}

absl::Duration AdmissionController::PredictedWait(const Pool& pool, Tier tier) {
  const double queued = pool.queue.WorkUpTo(tier);
  if (queued <= 0) {
    return absl::ZeroDuration();
  }
  return absl::Seconds(queued /
                       AvailableSlots(pool, pool.demand.HigherTierRate(tier)));
}

int AdmissionController::ReservedSlots(const Pool& pool, Tier tier) {
  if (pool.kind == ServerKind::kService) {
    // Service calls are short, so the next slot becomes free within
    // milliseconds.
    return 0;
  }
  int higher = 0;
  for (int t = 0; t < tier.value(); ++t) {
    higher += pool.running[t];
  }
  const double reserve = kReserveDeviations * std::sqrt(higher);
  return static_cast<int>(
      std::min(reserve, kMaxReserveFraction * pool.servers.total_slots()));
}

bool AdmissionController::FitsBelowPeak(const Pool& pool,
                                        const RequestState& request,
                                        MonoTime now) {
  const Tier tier = request.descriptor.tier;
  if (tier == Tier(0)) {
    return true;
  }
  const absl::Duration remaining =
      request.descriptor.arrival + request.descriptor.total_target - now;
  const absl::Duration planned =
      absl::Seconds(RemainingWork(pool, request, request.planned));
  if (planned <= kBurstRiseTime || planned + kBurstDuration <= remaining) {
    return true;
  }
  const double available =
      AvailableSlots(pool, pool.demand.HigherTierPeak(tier));
  const double seconds = absl::ToDoubleSeconds(remaining) * kPeakTimeFraction;
  return pool.running_work[tier.value()] + request.work <= available * seconds;
}

absl::Duration AdmissionController::RetryAfter(const Pool& pool,
                                               const RequestState& request,
                                               MonoTime now) {
  const Tier tier = request.descriptor.tier;
  const absl::Duration queue_wait =
      PredictedWait(pool, tier) -
      (request.latest_start - request.descriptor.arrival);
  const absl::Duration wait =
      std::max(queue_wait, pool.gate.ClosedUntil(tier) - now);
  return absl::Ceil(std::max(wait, absl::Seconds(1)), absl::Seconds(1));
}

}  // namespace camphorsail
