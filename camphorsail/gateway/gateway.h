#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/error.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/gateway/backend_pool.h"
#include "camphorsail/gateway/caller_listener.h"
#include "camphorsail/gateway/demand_meter.h"
#include "camphorsail/gateway/exchange.h"
#include "camphorsail/gateway/gateway_gauges.h"
#include "camphorsail/gateway/gateway_journal.h"
#include "camphorsail/gateway/gateway_settings.h"
#include "camphorsail/gateway/placement.h"
#include "camphorsail/gateway/refusal_outbox.h"
#include "camphorsail/gateway/wire_dialect.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/routing/route_index.h"

namespace camphorsail {

/// Forwards callers' requests to backend servers by the routing table: finds
/// route and account, chooses a server, repeats what may be repeated, and
/// passes the answer on as it comes. Owned by the gateway's process; belongs to
/// the loop's thread.
class Gateway {
 public:
  /// @param dialect How the deployment writes requests and answers.
  /// @param metrics Outlives the gateway.
  Gateway(const GatewaySettings& settings,
          const WireDialect& dialect,
          EventLoop* loop,
          Metrics* metrics);
  ~Gateway();

  /// Opens the listeners.
  /// @return The error of an address that cannot be used.
  Expected<void> Start();

  /// Follows this table from now on.
  void SetTable(const Ref<SharedRoutingTable>& table);
  /// Requests are sent while the clock is before this time.
  void SetLease(MonoTime valid_until) { lease_valid_until_ = valid_until; }
  /// @param count Gateways that share the servers, this one included.
  void SetGatewayCount(int count) { gateway_count_ = count; }
  BackendFleet& fleet() { return fleet_; }
  RefusalOutbox& refusals() { return refusals_; }
  /// Bounds retries by these from now on.
  void SetRetrySettings(const RetryAllowanceSettings& settings);
  /// @return Work that arrives at this gateway.
  LaneDemand Demand() { return demand_.Rate(loop_->now()); }
  /// @param demand Work that arrives at all gateways.
  void SetFleetDemand(const LaneDemand& demand) {
    placement_.SetDemand(demand);
    demand_.SetFleetRequests(demand.requests, loop_->now());
  }

  /// Reports not ready, and has each answer end its connection.
  void BeginDrain();
  /// Takes no new connections and closes the idle ones.
  void StopCallers();
  /// @return True when no request is in progress.
  bool IsIdle() const { return exchanges_.empty(); }
  bool IsReady() const;

  /// Actual ports of the listeners.
  uint16_t callers_port() const { return callers_->port(); }
  uint16_t ready_port() const { return ready_->port(); }

 private:
  void OnRequest(CallerConnection* caller,
                 HttpRequestHead head,
                 std::string body);
  void OnBadRequest(CallerConnection* caller, ErrorKind kind);
  /// Answers whether the gateway is ready, and `/metrics`.
  void OnReadyRequest(CallerConnection* caller, const std::string& target);
  /// Closes idle connections to servers, again and again.
  void Housekeep();
  /// @return The metrics as text, brought up to date.
  std::string RenderMetrics();
  Expected<std::unique_ptr<CallerListener>> MakeReadyListener(
      const NetworkAddress& address);
  /// Lowers the server's standing, and logs when it gets no more work.
  void NoteFailure(BackendServer* server,
                   std::string_view failure,
                   bool unreachable);
  /// Finds route, account and deadline.
  /// @return Nothing, or the error to answer with.
  Expected<void> Admit(Exchange* exchange);
  /// Sends the exchange to a server, or answers that there is none.
  void Dispatch(Exchange* exchange);
  /// @return False when the answer would come too late to be worth its work.
  bool IsWorthSending(const Exchange& exchange,
                      const PlacementChoice& choice) const;
  std::string BuildRequest(const Exchange& exchange,
                           const BackendServer& server,
                           MonoTime now) const;
  BackendHandlers MakeHandlers(Exchange* exchange);

  bool OnHead(Exchange* exchange, HttpResponseHead head);
  void OnData(Exchange* exchange, std::string_view data);
  void OnEnd(Exchange* exchange);
  void OnFailure(Exchange* exchange, BackendFailure failure, bool sent);
  void OnSilence(Exchange* exchange);
  void OnDeadline(Exchange* exchange);
  void OnCallerGone(CallerConnection* caller);
  void OnCallerDrained(CallerConnection* caller);

  /// The prompt was read: the first event or the whole answer is here.
  void NoteFirstAnswer(Exchange* exchange);
  void ForwardEvents(Exchange* exchange, std::string_view data);
  /// Counts the work of a new stream, and learns from a complete one.
  void MeterDemand(const Exchange& exchange);
  void LearnLength(const Exchange& exchange);
  /// Ends the attempt after it failed, and tries again where that is allowed.
  /// @param may_have_run False when the server certainly did not run it.
  /// @param allowed True when the retry is counted already.
  void Recover(Exchange* exchange,
               std::string_view failure,
               bool may_have_run,
               bool timed_out,
               bool allowed = false);
  /// @param runs Attempts that a server may have run.
  /// @return True when another attempt may be sent, apart from the allowance.
  bool MayTryAgain(const Exchange& exchange, int runs) const;
  void EndAttempt(Exchange* exchange, bool cancel);
  /// Answers with an error of the gateway, or cuts a streamed answer.
  void Refuse(Exchange* exchange, ErrorKind kind, std::string_view reason);
  void ArmSilence(Exchange* exchange, absl::Duration limit);
  void Finish(Exchange* exchange);

  /// @return When the caller may come back after a refusal that it was not run.
  absl::Duration RetryAfter(const Exchange& exchange, ErrorKind kind);
  RetryAllowance& RetriesOf(const ModelId& service);
  HttpHeaders ReplyHeaders(const HttpResponseHead& head) const;

  GatewaySettings settings_;
  const WireDialect dialect_;
  EventLoop* const loop_;
  Metrics* const metrics_;
  GatewayJournal journal_;
  GatewayGauges gauges_;
  BackendPool pool_;
  BackendFleet fleet_;
  Placement placement_;
  DemandMeter demand_;
  RefusalOutbox refusals_;
  /// Output tokens of a stream, smoothed, by route.
  absl::flat_hash_map<std::string, double> output_tokens_;
  /// Time that a stream holds a slot, smoothed, by route.
  absl::flat_hash_map<std::string, double> stream_seconds_;
  /// Time to the first answer over the expected time, smoothed, by route.
  absl::flat_hash_map<std::string, double> typical_ratio_;
  Random random_;
  Ref<RouteIndex> index_;
  MonoTime index_since_;
  MonoTime lease_valid_until_;
  int gateway_count_ = 1;
  bool draining_ = false;
  MonoTime drain_since_;
  absl::flat_hash_map<ModelId, RetryAllowance> retries_;
  absl::flat_hash_map<CallerConnection*, std::unique_ptr<Exchange>> exchanges_;
  std::unique_ptr<CallerListener> callers_;
  std::unique_ptr<CallerListener> ready_;
  /// Null without an address of its own for metrics.
  std::unique_ptr<CallerListener> metrics_listener_;
  EventLoop::TimerId housekeeping_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_H_
