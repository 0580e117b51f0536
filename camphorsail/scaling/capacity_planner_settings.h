#ifndef CAMPHORSAIL_SCALING_CAPACITY_PLANNER_SETTINGS_H_
#define CAMPHORSAIL_SCALING_CAPACITY_PLANNER_SETTINGS_H_

#include "absl/time/time.h"

namespace camphorsail {

/// Settings of a `CapacityPlanner`.
struct CapacityPlannerSettings {
  /// Fraction of the servers' time and of their slots that requests may take.
  /// Above it the queues of a short burst take longer than the burst to empty.
  double target_utilization = 0.7;
  /// Factor by which demand may rise above its average while a server starts.
  double burst = 1.5;
  /// Time constant of the average.
  absl::Duration average_time = absl::Seconds(30);
  /// Fraction of the servers that cannot be reclaimed. They serve the most
  /// urgent requests while all others are gone.
  double regular_fraction = 0.1;
  /// Largest deviation of a failure domain's share of the servers from an equal
  /// one, in favour of a lower price.
  double price_preference = 0.2;
  /// Time for which a demand is remembered, and for which the number of servers
  /// that was found at the start is kept. Servers are given back afterwards.
  absl::Duration memory = absl::Minutes(10);
  /// Interval in which servers may be given back, and the largest fraction of
  /// the servers that goes in one of them.
  absl::Duration release_interval = absl::Seconds(5);
  double release_fraction = 0.1;
  /// Time for which a failure domain that lost its reclaimable servers, or had
  /// none, is avoided.
  absl::Duration shortage_time = absl::Seconds(10);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCALING_CAPACITY_PLANNER_SETTINGS_H_
