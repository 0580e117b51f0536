#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/error.h"
#include "camphorsail/gateway/backend_connection_pool.h"
#include "camphorsail/gateway/backend_fleet.h"
#include "camphorsail/gateway/byte_account.h"
#include "camphorsail/gateway/caller_listener.h"
#include "camphorsail/gateway/crash_watch.h"
#include "camphorsail/gateway/exchange.h"
#include "camphorsail/gateway/gateway_gauges.h"
#include "camphorsail/gateway/gateway_settings.h"
#include "camphorsail/gateway/gateway_telemetry.h"
#include "camphorsail/gateway/loop_telemetry.h"
#include "camphorsail/gateway/refusal_outbox.h"
#include "camphorsail/gateway/wire_dialect.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/placement/account_shares.h"
#include "camphorsail/placement/demand_meter.h"
#include "camphorsail/placement/placement.h"
#include "camphorsail/placement/service_admission_state.h"
#include "camphorsail/placement/service_model.h"
#include "camphorsail/quarantine/part_quarantine.h"
#include "camphorsail/routing/route_index.h"
#include "camphorsail/usage/true_clock.h"
#include "camphorsail/usage/usage_meter.h"

namespace camphorsail {

/// Reverse proxy that forwards the requests of callers to backend servers as
/// the routing table prescribes. For each request it finds the route and the
/// account, chooses a server, retries failed attempts where this is safe, and
/// forwards the answer as it arrives. Owned by the gateway process. Not
/// thread-safe; used on the event loop's thread only.
class Gateway {
 public:
  /// @param dialect The HTTP headers of the deployment.
  /// @param loop Must outlive the gateway.
  /// @param metrics Must outlive the gateway.
  Gateway(const GatewaySettings& settings,
          const WireDialect& dialect,
          EventLoop* loop,
          Metrics* metrics);
  ~Gateway();

  /// Opens the listeners.
  /// @return An error when a listening address cannot be used.
  Expected<void> Start();

  /// Routes new requests by this table from now on.
  void SetTable(const Ref<SharedRoutingTable>& table);
  /// Sets the end of the lease on the routing table. Requests are sent to
  /// servers before this time only.
  void SetLease(MonoTime valid_until) { lease_valid_until_ = valid_until; }
  /// @param count Number of gateways that share the servers, this one included.
  void SetGatewayCount(int count) {
    gateway_count_ = count;
    placement_.SetGatewayCount(count);
  }
  BackendFleet& fleet() { return fleet_; }
  RefusalOutbox& refusals() { return refusals_; }
  UsageMeter& usage() { return usage_; }
  TrueClock& true_clock() { return true_clock_; }
  /// Takes the true time that a replica tells, see `TrueClock`.
  void OnTrueTime(const VmId& replica, absl::Time time) {
    true_clock_.OnReading(replica, time, loop_->now());
  }
  /// Limits retries by these settings from now on.
  void SetRetrySettings(const GatewayRetryBudgetSettings& settings);
  /// @return What the other gateways need to know about overloaded services.
  std::vector<ServiceAdmissionState> AdmissionStates() const;
  /// Takes what all gateways together tell about overloaded services.
  void OnAdmissionStates(const std::vector<ServiceAdmissionState>& states);
  /// @return The work of the accounts at overloaded services that the replicas
  /// are to be told now.
  /// @param replica The replica that is told.
  std::vector<ServiceAccountWork> TakeAccountWork(const VmId& replica);
  /// Takes the work of the accounts at all gateways together.
  void OnFleetAccountWork(const std::vector<ServiceAccountWork>& work);
  /// @return What the other gateways need to know about prompt parts that end
  /// servers.
  QuarantineReport QuarantineState() const {
    return quarantine_.Report(loop_->now());
  }
  /// Takes what all gateways together know about such parts.
  /// @param is_current See `PartQuarantine::OnUpdate`.
  void OnQuarantineUpdate(const QuarantineUpdate& update, bool is_current);
  /// Reaches the verdicts that are due, and ends the attempts on which the
  /// answer has not begun and whose requests are quarantined. To be called
  /// every poll.
  void AdvanceQuarantine();
  /// @param process Identifies the start of this process.
  void SetIdentity(VmId vm, uint64_t process) {
    quarantine_.SetIdentity(std::move(vm), process);
  }
  /// @return Work per second that arrives at this gateway.
  EngineDemand Demand() { return demand_.Rate(loop_->now()); }
  /// @param demand Work per second that arrives at all gateways together.
  void SetTotalDemand(const EngineDemand& demand) {
    placement_.SetDemand(demand);
    demand_.SetTotalRequests(demand.requests, loop_->now());
    for (auto& [service, model] : models_) {
      if (model.speeds().has_reports()) {
        placement_.Divide(fleet_.ServersOf(service), &model.speeds(),
                          loop_->now());
      }
    }
  }

  /// Starts a graceful shutdown: reports the gateway as not ready and closes
  /// each connection after its next answer.
  /// @param admission_time Time from now for which requests are still accepted.
  /// Later ones might not be complete when the process has to exit.
  void BeginDrain(absl::Duration admission_time);
  /// Answers all requests in progress with an error, because the process ends.
  void EndDrain();
  /// Stops accepting connections and closes the idle ones.
  void StopCallers();
  /// @return True when no request is in progress.
  bool IsIdle() const { return exchanges_.empty(); }
  /// @return True when the callers' machines have taken all bytes of the
  /// answers so far.
  bool AreAnswersTaken() const { return callers_->untaken_answers() == 0; }
  /// @return True while the gateway has a routing table with a valid lease and
  /// is not draining, once it has known a server or has waited for one for
  /// `kServerViewWait`. Later it stays ready without servers: no other gateway
  /// has any either, and callers are told when to come back.
  bool IsReady() const;

  /// Ports that the listeners are bound to.
  uint16_t callers_port() const { return callers_->port(); }
  uint16_t ready_port() const { return ready_->port(); }

 private:
  void OnRequest(CallerConnection* caller,
                 HttpRequestHead head,
                 std::string body);
  void OnUnreceivedRequest(CallerConnection* caller, ErrorKind kind);
  /// Answers a readiness probe or a request for `/metrics`.
  void OnReadinessRequest(CallerConnection* caller, const std::string& target);
  /// Closes idle connections to servers and schedules its next run.
  void Housekeep();
  /// Updates the gauges.
  /// @return All metrics in the Prometheus text format.
  std::string RenderMetrics();
  /// Creates a listener for readiness probes and `/metrics`.
  Expected<std::unique_ptr<CallerListener>> MakeReadinessListener(
      const NetworkAddress& address);
  /// Records a failed attempt in the server's health, and logs when this
  /// suspends the server.
  /// @param unreachable True when the server could not be reached.
  void RecordFailure(BackendServer* server,
                     std::string_view failure,
                     bool unreachable);
  /// Determines the route, account, service and deadline of a request.
  /// @return The error to answer with when the request is refused.
  Expected<void> Admit(Exchange* exchange);
  /// @return True while the lease on the routing table is valid. Reads the
  /// clock, because the process may have been paused since the event loop did.
  bool IsLeaseValid() const;
  /// Starts an attempt on the best server, or refuses the request when there is
  /// no suitable server.
  void Dispatch(Exchange* exchange);
  /// @return Longest expected time to the start of the answer with which the
  /// request is admitted on the server; infinite while the server has room.
  absl::Duration AdmissionLimit(const Exchange& exchange,
                                const PlacementChoice& choice) const;
  /// Decides whether a new request is sent to the server that was chosen.
  /// @return False when the request was refused because of overload.
  bool AdmitOrRefuse(Exchange* exchange, const PlacementChoice& choice);
  /// @return The inputs of the decision to refuse the request.
  AdmissionCheck DescribeAdmission(const Exchange& exchange,
                                   const PlacementChoice& choice,
                                   absl::Duration limit);
  /// @return The head of the request as it is sent to `server`; `kInternal`
  /// when a header is not valid.
  Expected<std::string> BuildRequestHead(const Exchange& exchange,
                                         const BackendServer& server,
                                         MonoTime now) const;
  BackendHandlers MakeHandlers(Exchange* exchange);

  /// Handles the status line and headers of an answer.
  /// @return False when the answer must not be used for this request.
  bool OnHead(Exchange* exchange, HttpResponseHead head);
  /// Obeys what the server says about further requests.
  void ObserveWishes(const Exchange& exchange);
  /// Handles a part of an answer's body.
  void OnData(Exchange* exchange, std::string_view data);
  /// Gives up the attempt when it holds too much of an incomplete answer.
  void LimitHeldAnswer(Exchange* exchange);
  /// Gives up the attempt, because the memory of its incomplete answer is
  /// needed for others.
  /// @param number The exchange, which may have ended.
  void GiveUpHeldAnswer(CallerConnection* caller, uint64_t number);
  /// Handles the end of a complete answer.
  void OnEnd(Exchange* exchange);
  /// Handles an attempt that ended without a complete answer.
  /// @param sent True when the server may have received the request.
  void OnFailure(Exchange* exchange, BackendFailure failure, bool sent);
  /// @return True when the answer is a stream that ended inside an event, or
  /// without a length before its first event, so that it was broken off.
  static bool IsStreamCut(const Exchange& exchange);
  /// Handles an attempt that broke off after it had been sent.
  void OnBroken(Exchange* exchange, std::string_view failure);
  /// Handles an attempt that has made no progress for too long.
  void OnNoProgress(Exchange* exchange);
  /// Handles a request whose deadline has passed.
  void OnDeadline(Exchange* exchange);
  /// Handles a caller that disconnected before its answer was complete.
  void OnCallerGone(CallerConnection* caller);
  /// Resumes reading from the server once the caller has taken its data.
  void OnCallerDrained(CallerConnection* caller);

  /// Updates the server's load and health when the first event or the whole
  /// answer has arrived, which means that the prompt has been read.
  void RecordFirstAnswer(Exchange* exchange);
  /// Counts the request as begun, unless it is counted already.
  void CountUsage(Exchange* exchange);
  /// Counts a request whose attempt ended without an answer, if it lasted until
  /// its first token was expected.
  void CountIfBegun(Exchange* exchange);
  /// Forwards the complete events of a stream to the caller.
  void ForwardEvents(Exchange* exchange, std::string_view data);
  /// Records a new request in the model of its service, and adds its expected
  /// work to the demand.
  void RecordDemand(Exchange* exchange);
  /// Updates the typical length and duration of the route's streams by a
  /// completed stream.
  void RecordStreamEnd(const Exchange& exchange);
  /// Takes the weights of the accounts from the routing table.
  void SetAccountWeights();
  /// Counts a new request for its account, if the table has several accounts.
  /// @param work_ms Engine time that the request takes, in milliseconds.
  void CountForAccount(Exchange* exchange, double work_ms);
  /// @return What is known about the service of an exchange.
  ServiceModel& ModelOf(const Exchange& exchange);
  /// Ends a failed attempt. Starts another one if this is allowed, and else
  /// refuses the request.
  /// @param failure Name of the failure for logs and metrics.
  /// @param may_have_run False when the server certainly did not run the
  /// request.
  /// @param timed_out True when the attempt made no progress for too long.
  /// @param allowed True when the retry is already counted in the retry budget.
  void RetryOrRefuse(Exchange* exchange,
                     std::string_view failure,
                     bool may_have_run,
                     bool timed_out,
                     bool allowed = false);
  // Implemented in gateway_quarantine.cc.

  /// Adds the request as a whole to its causes.
  void HashRequest(Exchange* exchange);
  /// Decides by what servers have ended on whether the request may be sent to a
  /// server.
  /// @return False when the request was refused.
  bool PassesQuarantine(Exchange* exchange);
  /// @return True when a failed request may be sent to another server, as far
  /// as the ends of servers are concerned.
  bool MayBeHandedOn(const Exchange& exchange) const;
  /// @return True when another request with the cause is on a server.
  bool IsCauseOnServer(const Exchange& exchange, PromptPartHash cause);
  /// Keeps a request whose attempt broke off until it is known whether the
  /// server has ended, if the request may be the reason.
  /// @return False when the request is not kept.
  bool HoldForCrashCheck(Exchange* exchange, std::string_view failure);
  /// Continues the requests that were kept.
  void OnServerChecked(const Ref<BackendServer>& server, bool ended);
  /// Records that the answer has begun without ending its server.
  void RecordSettled(Exchange* exchange);

  /// @param possible_runs Number of attempts that a server may have run.
  /// @return True when another attempt may be sent, provided that the retry
  /// budget permits it.
  bool MayTryAgain(const Exchange& exchange, int possible_runs) const;
  /// Ends the current attempt, if there is one.
  /// @param cancel True to close its connection to the server.
  void EndAttempt(Exchange* exchange, bool cancel);
  /// Answers with an error of the gateway itself, or aborts the connection when
  /// a streamed answer has already begun.
  void Refuse(Exchange* exchange, ErrorKind kind, std::string_view reason);
  /// Starts or restarts the timer for the time without progress of the current
  /// attempt.
  /// @param limit Time after which `OnNoProgress` is called.
  void StartProgressTimer(Exchange* exchange, absl::Duration limit);
  /// Ends the exchange and releases it.
  void Finish(Exchange* exchange);

  /// Refuses a request that no server takes.
  void RefuseWithoutServer(Exchange* exchange);
  /// Sets what the request needs of a server's memory, if that is stated.
  void SetMemoryNeed(Exchange* exchange);
  /// @return Time after which the caller should retry a refused request.
  absl::Duration RetryAfter(const Exchange& exchange, ErrorKind kind);
  /// @return The retry budget of a service.
  GatewayRetryBudget& RetryBudgetOf(const ModelId& service);
  /// @return The headers of a server's answer that are forwarded to the caller.
  HttpHeaders ReplyHeaders(const HttpResponseHead& head) const;

  GatewaySettings settings_;
  const WireDialect dialect_;
  EventLoop* const loop_;
  Metrics* const metrics_;
  GatewayTelemetry telemetry_;
  GatewayGauges gauges_;
  LoopTelemetry loop_telemetry_;
  BackendConnectionPool pool_;
  BackendFleet fleet_;
  Placement placement_;
  DemandMeter demand_;
  /// Incomplete answers, and those that their callers have not taken.
  ByteAccount answers_;
  CrashWatch crashes_;
  PartQuarantine quarantine_;
  /// Requests that wait for the check of a server.
  struct HeldRequest {
    CallerConnection* caller = nullptr;
    uint64_t exchange = 0;
    PromptPartHashes parts;
    /// See `CrashRecord`.
    bool is_repeated = false;
    std::string failure;
  };
  absl::flat_hash_map<const BackendServer*, std::vector<HeldRequest>> held_;
  uint64_t last_exchange_ = 0;
  RefusalOutbox refusals_;
  UsageMeter usage_;
  TrueClock true_clock_;
  absl::flat_hash_map<ModelId, ServiceModel> models_;
  Random random_;
  /// The routing table in use; null until there is one.
  Ref<RouteIndex> index_;
  MonoTime index_since_;
  /// When the first table was put into use.
  MonoTime first_table_at_;
  /// Weights of the accounts in the table.
  AccountWeights account_weights_;
  /// False when the table does not tell several accounts apart.
  bool has_account_shares_ = false;
  /// The replica that was told the work of the accounts last.
  VmId account_work_replica_;
  MonoTime lease_valid_until_;
  int gateway_count_ = 1;
  bool draining_ = false;
  /// Requests that arrive later are refused.
  MonoTime accepts_until_ = MonoTime::Infinite();
  absl::flat_hash_map<ModelId, GatewayRetryBudget> retry_budgets_;
  absl::flat_hash_map<CallerConnection*, std::unique_ptr<Exchange>> exchanges_;
  std::unique_ptr<CallerListener> callers_;
  std::unique_ptr<CallerListener> ready_;
  /// Null when the settings have no separate address for metrics.
  std::unique_ptr<CallerListener> metrics_listener_;
  EventLoop::TimerId housekeeping_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_H_
