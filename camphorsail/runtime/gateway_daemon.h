#ifndef CAMPHORSAIL_RUNTIME_GATEWAY_DAEMON_H_
#define CAMPHORSAIL_RUNTIME_GATEWAY_DAEMON_H_

#include <memory>
#include <set>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/gateway/gateway.h"
#include "camphorsail/gateway/gateway_update.h"
#include "camphorsail/gateway/table_lease.h"
#include "camphorsail/membership/server_registry.h"
#include "camphorsail/net/event_loop.h"
#include "camphorsail/peer/peer_transport.h"
#include "camphorsail/peer/shared_hybrid_clock.h"
#include "camphorsail/process/metrics.h"
#include "camphorsail/process/options.h"
#include "camphorsail/process/settings_reloader.h"
#include "camphorsail/process/signal_watcher.h"

namespace camphorsail {

/// The process of a gateway VM: the request path, and the polls by which it
/// receives the routing table and the load of other gateways from the replicas.
/// Keeps no durable state. Everything except the peer transport runs on one
/// thread.
class GatewayDaemon {
 public:
  /// @param options Checked settings with the role gateway.
  /// @return The daemon; an error for an address that cannot be used.
  static Expected<std::unique_ptr<GatewayDaemon>> Create(
      const Options& options,
      const WireDialect& dialect);
  ~GatewayDaemon();

  /// Serves until SIGTERM or SIGINT, then drains.
  /// @param reloader Reads the settings again at SIGHUP.
  /// @return True when all requests finished before the process stopped.
  bool Run(SignalWatcher* signals, const SettingsReloader& reloader);

 private:
  GatewayDaemon(const Options& options, const WireDialect& dialect);

  Expected<void> Start();
  void OnPeerMessage(const VmId& from, const PeerMessage& message);
  void OnUpdate(const VmId& from, const GatewayUpdate& update);
  /// Takes the table, or the changes of the table, of an update.
  void TakeTable(const GatewayUpdate& update);
  void OnSignal(int signal);
  void Reload();
  /// Asks a replica to confirm the routing table.
  void Poll();
  void SendPoll(const VmId& to);
  /// @return The counts that a poll to the replica carries.
  std::vector<UsageCount> TakeUsage(const VmId& to, uint64_t token);
  /// Sends the digest of the registry to a replica, which answers with the
  /// servers that the registry lacks.
  void SendDigest(const VmId& to);
  void TickRegistry();
  void ApplyServerChanges();
  /// Stops the loop once all requests are answered or the drain time is over.
  void CheckDrained();
  void UpdateReplicas(const std::vector<VmId>& replicas);

  Options options_;
  SharedHybridClock clock_;
  Metrics metrics_;
  EventLoop loop_;
  Gateway gateway_;
  ServerRegistry registry_;
  /// Identifies this start of the process.
  const uint64_t process_;
  TableLease lease_;
  std::unique_ptr<PeerTransport> peers_;
  SignalWatcher* signals_ = nullptr;
  const SettingsReloader* reloader_ = nullptr;

  /// The routing table in use; null until there is one.
  Ref<SharedRoutingTable> table_;
  /// Version that is reported to the replicas: that of `table_`, or 0 when the
  /// whole table is needed.
  uint64_t table_version_ = 0;
  /// In order of preference, which differs between gateways.
  std::vector<VmId> replicas_;
  /// Index into `replicas_` of the replica that is polled.
  size_t polled_replica_ = 0;
  /// The replica that has taken the latest usage counts.
  VmId usage_replica_;
  /// When that replica last answered a poll, or was first polled.
  MonoTime last_answer_at_;
  size_t next_digest_replica_ = 0;
  MonoTime next_digest_at_;
  bool lease_was_valid_ = false;

  bool draining_ = false;
  MonoTime drain_started_at_;
  bool all_requests_finished_ = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_GATEWAY_DAEMON_H_
