#ifndef CAMPHORSAIL_RUNTIME_DAEMON_H_
#define CAMPHORSAIL_RUNTIME_DAEMON_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "camphorsail/admin/admin_api.h"
#include "camphorsail/base/error.h"
#include "camphorsail/entry/locked_scheduler.h"
#include "camphorsail/http/entry_runtime.h"
#include "camphorsail/http/route_server.h"
#include "camphorsail/http/stream_server.h"
#include "camphorsail/net/waker.h"
#include "camphorsail/peer/peer_transport.h"
#include "camphorsail/peer/shared_hybrid_clock.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/process/options.h"
#include "camphorsail/runtime/commit_slots.h"
#include "camphorsail/runtime/control_runtime.h"
#include "camphorsail/runtime/duty_feed.h"
#include "camphorsail/runtime/duty_metrics.h"
#include "camphorsail/runtime/gateway_sessions.h"
#include "camphorsail/runtime/order_sender.h"
#include "camphorsail/runtime/provider_dialect.h"
#include "camphorsail/runtime/provider_sender.h"
#include "camphorsail/runtime/replica_gauges.h"
#include "camphorsail/runtime/request_telemetry.h"
#include "camphorsail/runtime/server_directory.h"
#include "camphorsail/runtime/timeline_collector.h"
#include "camphorsail/scheduling/scheduler.h"
#include "camphorsail/timeline/timeline_buffer.h"

namespace camphorsail {

/// One daemon process: its listeners, the request path, the control path and
/// the connections to its peers. Owns all threads. Passes events and actions
/// between these components and makes no decisions itself.
class Daemon {
 public:
  /// @param options Checked settings.
  /// @param provider Translation of the calls to the provider; needed only when
  /// the settings contain its address.
  /// @return The running daemon. Errors: `kSettingsInvalid`, `kInvalidRequest`
  /// or `kInternal` for an address that cannot be used, `kDataCorrupt` or
  /// `kStorageFailed` for the data folder.
  static Expected<std::unique_ptr<Daemon>> Create(
      const Options& options,
      const ProviderDialect& provider = {});
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Stops gracefully: reports not ready, refuses new requests once the load
  /// balancer had time to notice, waits until requests in progress are
  /// answered, and records this VM's last minutes.
  /// @return False when requests were still in progress at the time limit.
  bool Drain();

  /// The ports that the listeners are bound to. The port for callers is zero
  /// without the entry role.
  uint16_t callers_port() const {
    return callers_ == nullptr ? 0 : callers_->port();
  }
  uint16_t announcements_port() const { return announcements_->port(); }
  uint16_t operators_port() const { return operators_->port(); }

  /// Opens a listener for the deployment's own protocol. Call once, after
  /// `Create`.
  /// @return `kSettingsInvalid` for an address that cannot be used.
  Expected<void> AddListener(const NetworkAddress& address, RouteTable routes);

  /// Commits a valid routing table.
  /// @return The version in force, which differs from the table's version when
  /// the table is not newer; `kQuorumLost` or `kOutcomeUnknown`.
  Expected<uint64_t> SetRouting(RoutingTable table);
  /// @return The routing table in force; `kQuorumLost` when this VM cannot
  /// confirm which one is in force.
  Expected<Ref<SharedRoutingTable>> GetRouting();
  /// Processes an announcement of a backend server whose service the routing
  /// table names. One that says that the server is leaving is committed, see
  /// `RecordDeparture`.
  /// @return See `ServerDirectory::Register` and `RecordDeparture`.
  Expected<void> OnAnnouncement(const ServerAnnouncement& announcement);
  /// Stops sending new requests to a server, which need not be known.
  /// @param incarnation See `ServerDirectory::Leave`.
  /// @return Whether the server was known; errors see `RecordDeparture`.
  Expected<bool> OnServerLeft(const BackendServerId& server,
                              std::optional<Incarnation> incarnation);

  /// Applies the settings that may change while the daemon runs. Must be called
  /// by the thread that calls `Drain`.
  void ApplySettings(const Options& options) {
    options_.drain_timeout = options.drain_timeout;
    options_.drain_delay = options.drain_delay;
  }

  /// @return True when an operator asked for a drain or the disk failed.
  bool stop_requested() const { return stop_requested_; }

 private:
  /// Without a quorum, a departure occupies a worker of its listener until the
  /// submission times out; the other workers are left to the servers that go
  /// on.
  static constexpr int kMaxDeparturesInProgress = 6;

  Daemon(const Options& options, const ProviderDialect& provider);

  Expected<void> StartControl();
  Expected<void> StartPeers();
  Expected<void> StartListeners();
  EntryRuntimeHooks MakeEntryHooks();
  ControlRuntimeHooks MakeControlHooks();
  ServerDirectory::Hooks MakeDirectoryHooks();
  AdminApi::Dependencies MakeAdminParts();
  /// Opens an additional listener for `/metrics` if the settings contain an
  /// address.
  void StartMetricsListener();
  std::string RenderMetrics();

  StreamServerSettings ListenerSettings(const NetworkAddress& address) const;
  /// Answers `/healthz`, `/readyz` and `/metrics`.
  RouteTable MakeHealthRoutes();
  RouteTable MakeAnnounceRoutes();
  StreamHandlers MakeCallerHandlers();
  HttpResponse Announce(const HttpRequest& request);
  /// @param body See `ServerDirectory::Announce`.
  /// @return See `ServerDirectory::Announce` and `RecordDeparture`.
  Expected<void> TakeAnnouncement(const std::string& body);

  /// Commits a departure, so that it is known after a restart of all VMs. Only
  /// then may it be acknowledged: a server that has no acknowledgement repeats
  /// its message.
  /// @return `kOverloaded` when too many departures wait, `kQuorumLost` or
  /// `kOutcomeUnknown`. The server gets no new requests all the same.
  Expected<void> RecordDeparture(const ServerDeparture& departure);

  Expected<void> RequestDrain(const VmId& vm);
  /// Sends a message to a peer. If VMs discover each other through seeds, a VM
  /// that is not a peer yet is added first.
  void SendTo(const VmId& to, PeerMessage message);
  /// Sends the other replicas the load of the gateways that poll this replica.
  void ShareGatewayLoad(MonoTime now);
  /// Forwards usage counts to the leader, or, on the leader, tells the control
  /// path what the duties ask for.
  void StepDuties(MonoTime now);
  void SendUsage(const VmId& to, const UsageForward& forward);
  void CallProvider(const ProviderCall& call);
  /// Removes peers that have been unreachable for a long time.
  void RemoveUnreachablePeers(MonoTime now);
  void OnPeerMessage(const VmId& from, PeerMessage message);
  void SendToPeers(PeerChannel channel,
                   const std::string& payload,
                   bool replaceable);
  void ApplyServerChanges(const ServerRegistry::Changes& changes);
  /// Reports the available engines to the control path if they have changed.
  void PostEngines(MonoTime now);
  bool IsReady() const;
  void RunTicks();

  Options options_;
  SharedHybridClock clock_;
  Metrics metrics_;
  ReplicaGauges gauges_{&metrics_};
  /// Null without duties.
  std::unique_ptr<DutyMetrics> duty_metrics_;
  TimelineBuffer timeline_;
  RequestTelemetry telemetry_;
  LockedScheduler<Scheduler> scheduler_;
  ServerDirectory directory_;
  TimelineCollector collector_;
  std::unique_ptr<EntryRuntime<Scheduler>> entry_;
  std::unique_ptr<ControlRuntime> control_;
  std::unique_ptr<OrderSender> order_sender_;
  const ProviderDialect provider_dialect_;
  /// Null without a provider.
  std::unique_ptr<ProviderSender> provider_sender_;
  std::unique_ptr<PeerTransport> peers_;
  DutyFeed duty_feed_;
  GatewaySessions gateways_;
  std::unique_ptr<AdminApi> admin_api_;
  RouteTable health_routes_;
  std::unique_ptr<StreamServer> callers_;
  std::unique_ptr<RouteServer> announcements_;
  std::unique_ptr<RouteServer> operators_;
  std::unique_ptr<RouteServer> platform_;
  /// Null without a separate address for metrics.
  std::unique_ptr<RouteServer> metrics_server_;
  MonoTime next_group_load_;
  MonoTime next_duty_step_;
  /// Time since which each peer has not been connected. Used on the tick
  /// thread.
  std::map<VmId, MonoTime> unreachable_since_;

  /// Version of the settings that was last recorded on the timeline. Used on
  /// the control thread.
  SettingsVersion settings_in_force_;
  /// Engines that were last reported to the control path. Used on the tick
  /// thread.
  std::map<BackendServerId, EngineInfo> posted_engines_;
  CommitSlots departure_slots_{kMaxDeparturesInProgress};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> stop_requested_{false};
  std::atomic<bool> stopping_{false};
  Waker tick_waker_;
  std::thread tick_thread_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_DAEMON_H_
