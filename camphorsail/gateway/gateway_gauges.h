#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/process/process_metrics.h"

namespace camphorsail {

/// State of one service as a gateway sees it.
struct ServiceGauges {
  ModelId service;
  const BackendFleet::Servers* servers = nullptr;
  /// Retries that the gateway may send now.
  double retries_left = 0;
};

/// State of a gateway at one moment.
struct GatewayState {
  uint64_t table_version = 0;
  /// Time since the table came into force.
  absl::Duration table_age;
  /// Not positive without a lease.
  absl::Duration lease_left;
  size_t requests = 0;
  size_t callers = 0;
  /// Bytes of requests that are held.
  size_t held_bytes = 0;
  /// Connections that were closed at once for lack of room.
  uint64_t turned_away = 0;
  /// Refusals that found no room on their way to the record.
  uint64_t lost_refusals = 0;
  std::vector<ServiceGauges> services;
};

/// The metrics that say what a gateway believes and holds, brought up to date
/// when they are read. Belongs to the loop's thread.
class GatewayGauges {
 public:
  /// @param metrics Outlives this object; families are declared here.
  explicit GatewayGauges(Metrics* metrics);

  void Update(const GatewayState& state, MonoTime now);

 private:
  Metrics* const metrics_;
  ProcessMetrics process_;
  MetricId table_version_;
  MetricId table_age_;
  MetricId lease_;
  MetricId requests_;
  MetricId callers_;
  MetricId held_bytes_;
  MetricId turned_away_;
  MetricId lost_refusals_;
  MetricId servers_;
  MetricId suspended_;
  MetricId own_requests_;
  MetricId known_requests_;
  MetricId slots_;
  MetricId retries_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_
