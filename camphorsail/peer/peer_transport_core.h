#ifndef CAMPHORSAIL_PEER_PEER_TRANSPORT_CORE_H_
#define CAMPHORSAIL_PEER_PEER_TRANSPORT_CORE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/random.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/peer/inbound_connection.h"
#include "camphorsail/peer/outbound_connection.h"
#include "camphorsail/peer/peer_state.h"
#include "camphorsail/peer/peer_table.h"
#include "camphorsail/peer/peer_transport.h"

namespace camphorsail {

/// Implementation and event loop of a `PeerTransport`. Connections are used
/// only on the loop's thread; other threads communicate with it through the
/// queues, the table of peers and the wake-up descriptor.
class PeerTransportCore {
 public:
  PeerTransportCore(PeerTransportSettings settings,
                    SharedHybridClock* clock,
                    PeerTransport::MessageHandler on_message,
                    PeerTransport::StateHandler on_state);
  ~PeerTransportCore();

  /// Binds the address and starts the thread; called once.
  Expected<void> Start();
  void Stop();
  PeerSendResult Send(const VmId& to, PeerMessage message);
  Expected<void> AddPeer(const PeerAddress& peer);
  void RemovePeer(const VmId& vm);
  bool Flush(absl::Duration timeout);
  bool IsConnected(const VmId& vm) const {
    const Ref<PeerState> peer = table_.Find(vm);
    return peer && peer->outbound_connected;
  }
  std::vector<PeerStats> Stats() const { return table_.Stats(); }
  uint64_t refused_connections() const { return refused_connections_; }
  NetworkAddress listen_address() const { return listen_address_; }

 private:
  /// An outbound or an inbound connection (the other pointer is null), and its
  /// peer. The peer of an inbound connection is null until it is authenticated.
  struct Connection {
    std::unique_ptr<OutboundConnection> outbound;
    std::unique_ptr<InboundConnection> inbound;
    Ref<PeerState> peer;
    /// True when the descriptor is registered for writability.
    bool watches_writability = false;

    Http2Socket& socket() {
      return outbound ? outbound->socket() : inbound->socket();
    }
  };

  /// Interrupts the loop's wait.
  void Wake();

  // The functions below run on the loop's thread.

  void Run();
  void UpdatePeers();
  void SendPending();
  void Accept(MonoTime now);
  void Connect(const Ref<PeerState>& peer, MonoTime now);
  void HandleEvent(uint64_t id, uint32_t events, MonoTime now);
  /// Closes connections that are idle or exceeded the time limit of the
  /// handshake, sends PINGs, and opens the connections whose backoff has
  /// passed. Sets `next_housekeeping_` to the next time at which this is
  /// needed.
  void DoHousekeeping(MonoTime now);
  /// Writes what the connection has to send and updates the events for which it
  /// is registered.
  void WriteConnection(uint64_t id);
  void AccountWireBytes(Connection& connection);
  void CloseMarked(MonoTime now);
  void CloseOutbound(Connection& connection, MonoTime now);
  void CloseInbound(Connection& connection, MonoTime now);
  void ReportFlushProgress();
  void SetListening(bool listening);
  void ScheduleReconnect(PeerState& peer, bool was_stable, MonoTime now);
  bool IsAllowed(const VmId& from, int fd) const;
  void OnAuthenticated(uint64_t id, const VmId& from);
  void OnMessage(uint64_t id, PeerMessage message);
  bool NextMessage(PeerState& peer, PeerMessage* message);
  void OnReady(PeerState& peer);
  uint64_t Register(int fd, Connection connection);

  const PeerTransportSettings settings_;
  SharedHybridClock* const clock_;
  const PeerTransport::MessageHandler on_message_;
  const PeerTransport::StateHandler on_state_;
  NetworkAddress listen_address_;
  int listen_fd_ = -1;
  int epoll_fd_ = -1;
  int wake_fd_ = -1;
  std::thread thread_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> wake_pending_{false};
  std::atomic<uint64_t> refused_connections_{0};

  PeerTable table_;
  absl::Mutex flush_mutex_;
  absl::CondVar flush_progress_;
  /// Number of calls of `Flush` in progress. While there are any, the loop
  /// checks what the peers' kernels have acknowledged.
  std::atomic<int> active_flushes_{0};

  // Used on the loop's thread only.

  /// Copy of the peers in `table_`, so that handlers run without the table's
  /// lock.
  std::vector<Ref<PeerState>> loop_peers_;
  absl::flat_hash_map<uint64_t, Connection> connections_;
  std::vector<uint64_t> marked_for_close_;
  /// Connection attempts to peers that have connected meanwhile. They are
  /// closed at the end of the loop's iteration unless they have succeeded.
  std::vector<uint64_t> replaced_attempts_;
  uint64_t next_id_ = 0;
  size_t inbound_count_ = 0;
  size_t unauthenticated_count_ = 0;
  /// Time of the current iteration of the loop.
  MonoTime now_;
  MonoTime next_housekeeping_;
  Random jitter_;
  /// False while accepting is paused because of missing file descriptors or
  /// memory.
  bool listening_ = false;
  /// Refused connections are logged at most once a second.
  MonoTime next_refusal_log_;
  /// Number of refused connections since the last logged one.
  uint64_t refusals_not_logged_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_TRANSPORT_CORE_H_
