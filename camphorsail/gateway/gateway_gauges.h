#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/placement/admission_gate.h"
#include "camphorsail/placement/service_speeds.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/process/process_metrics.h"

namespace camphorsail {

/// State of one service at one gateway.
struct ServiceGauges {
  ModelId service;
  /// Available servers of the service, including suspended ones.
  const BackendFleet::Servers* servers = nullptr;
  /// Retries that the gateway may send now.
  double retries_left = 0;
  const AdmissionGate* admission = nullptr;
  const ServiceSpeeds* speeds = nullptr;
};

/// State of a gateway at one moment.
struct GatewayState {
  uint64_t table_version = 0;
  /// Time since the table was put into use.
  absl::Duration table_age;
  /// Time until the lease on the table expires; zero or negative without a
  /// valid lease.
  absl::Duration lease_left;
  /// Requests whose answer is not complete yet.
  size_t requests = 0;
  /// Open connections of callers.
  size_t callers = 0;
  /// Bytes of requests held in memory.
  size_t held_bytes = 0;
  /// Bytes of answers that are not complete, or that their callers have not
  /// taken.
  size_t answer_bytes = 0;
  /// Connections closed on arrival because the limit was reached.
  uint64_t rejected_connections = 0;
  /// Refusals that were not reported because the `RefusalOutbox` was full.
  uint64_t dropped_refusals = 0;
  /// Sets of prompt parts whose requests are refused.
  size_t quarantined = 0;
  /// Prompt parts that are suspected of ending servers.
  size_t suspected_parts = 0;
  std::vector<ServiceGauges> services;
};

/// The gauges of a gateway, which are updated whenever the metrics are read.
/// Not thread-safe; used on the event loop's thread only.
class GatewayGauges {
 public:
  /// @param metrics Must outlive this object. The constructor declares the
  /// metric families.
  explicit GatewayGauges(Metrics* metrics);

  void Update(const GatewayState& state, MonoTime now);

 private:
  /// Updates how the servers of a service differ in speed, if they do.
  void UpdateSpeeds(const ServiceGauges& service);

  Metrics* const metrics_;
  ProcessMetrics process_;
  MetricId table_version_;
  MetricId table_age_;
  MetricId lease_;
  MetricId requests_;
  MetricId callers_;
  MetricId held_bytes_;
  MetricId answer_bytes_;
  MetricId rejected_connections_;
  MetricId dropped_refusals_;
  MetricId quarantined_;
  MetricId suspected_parts_;
  MetricId servers_;
  MetricId suspended_;
  MetricId leaving_;
  MetricId resting_;
  MetricId paced_;
  MetricId pace_limit_;
  MetricId own_requests_;
  MetricId known_requests_;
  MetricId slots_;
  MetricId retries_;
  MetricId refused_share_;
  MetricId server_slowness_;
  MetricId interactive_servers_;
  MetricId spell_share_;
  MetricId spell_slowdown_;
  MetricId spell_length_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_GAUGES_H_
