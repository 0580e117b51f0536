#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_TELEMETRY_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_TELEMETRY_H_

#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/exchange.h"
#include "camphorsail/placement/placement.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/quarantine/quarantine_report.h"

namespace camphorsail {

/// Writes the log events and counters for the handling of requests by a
/// gateway. Not thread-safe; used on the event loop's thread only.
class GatewayTelemetry {
 public:
  /// @param metrics Must outlive this object. The constructor declares the
  /// metric families.
  explicit GatewayTelemetry(Metrics* metrics);

  /// A server was chosen for the request, which is about to be sent.
  void OnAttemptStarted(const Exchange& exchange,
                        const PlacementChoice& choice);
  /// The request was answered by a server.
  void OnAnswered(const Exchange& exchange, int status, MonoTime now);
  /// The gateway answered with an error or aborted the answer in progress.
  void OnRefused(const Exchange& exchange,
                 ErrorKind kind,
                 std::string_view reason,
                 MonoTime now);
  /// The caller disconnected before its answer was complete.
  void OnCallerLeft(const Exchange& exchange, MonoTime now);
  /// An attempt on a server failed.
  /// @param failure Name of the failure.
  /// @param next The reaction of the gateway: `retry`, `resume` or `give_up`.
  void OnAttemptFailed(const Exchange& exchange,
                       std::string_view failure,
                       std::string_view next,
                       MonoTime now);
  /// It was checked whether a server on which attempts broke off has ended.
  void OnServerChecked(const BackendServer& server, bool ended);
  /// Requests with these prompt parts are refused from now on, or no longer.
  void OnVerdict(const PartVerdict& verdict, bool in_force);
  /// The load report with an answer could not be read.
  void OnOddLoadReport(const Exchange& exchange);
  /// A request could not be received, see `CallerHandlers`.
  void OnUnreceivedRequest(ErrorKind kind);

 private:
  Metrics* const metrics_;
  MetricId requests_;
  MetricId attempts_;
  MetricId broken_servers_;
  MetricId odd_load_reports_;
  MetricId overload_refusals_;
  MetricId first_answer_time_;
  MetricId answer_time_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_TELEMETRY_H_
