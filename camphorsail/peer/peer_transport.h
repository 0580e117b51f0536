#ifndef CAMPHORSAIL_PEER_PEER_TRANSPORT_H_
#define CAMPHORSAIL_PEER_PEER_TRANSPORT_H_

#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/peer/peer_message.h"
#include "camphorsail/peer/peer_send_result.h"
#include "camphorsail/peer/peer_stats.h"
#include "camphorsail/peer/peer_transport_settings.h"
#include "camphorsail/peer/shared_hybrid_clock.h"

namespace camphorsail {

class PeerTransportCore;

/// Carries messages between the daemons over HTTP/2 with prior knowledge.
///
/// Each VM opens one TCP connection to each peer and uses it for its own
/// messages only, so two VMs share two connections and need no rule for
/// simultaneous opening. Messages travel in one long-lived stream per
/// connection, which keeps their order and costs no header block per message.
/// Delivery is at most once and in order per sender; messages are lost only
/// when a connection breaks or when the limits of a queue are reached.
///
/// Both ends prove knowledge of the shared secret with an HMAC over fresh
/// nonces and both ids before a message is sent. The receiver also requires
/// that the sender is a configured peer that connects from its configured IP
/// address.
///
/// Owned by the daemon. Runs one thread; all public functions may be called
/// from any thread, including the handlers, except that `Stop` and the
/// destructor must not run on a handler's thread.
class PeerTransport {
 public:
  /// Called on the transport's thread. It must not block, because no other
  /// message is received meanwhile.
  using MessageHandler = std::function<void(const VmId& from, PeerMessage)>;
  /// Called on the transport's thread when the outgoing connection to a peer
  /// becomes usable or is lost.
  using StateHandler = std::function<void(const VmId& peer, bool connected)>;

  /// Binds the listening socket and starts the thread.
  ///
  /// @param clock The process's clock; must outlive the transport.
  /// @param on_message Receives the messages of all peers.
  /// @param on_state May be empty.
  /// @return The transport. Errors: `kInvalidRequest` for settings out of
  /// range, `kInternal` when the address cannot be bound.
  static Expected<std::unique_ptr<PeerTransport>> Create(
      PeerTransportSettings settings,
      SharedHybridClock* clock,
      MessageHandler on_message,
      StateHandler on_state = {});

  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Queues a message; never blocks on the network. When the queue is full,
  /// the oldest replaceable messages are dropped to make room.
  ///
  /// @param to A configured peer. A message to the own VM is refused with
  /// `kUnknownPeer`.
  PeerSendResult Send(const VmId& to, PeerMessage message);

  /// Adds a peer, or changes the address of a known one, which reconnects it.
  ///
  /// @return Success, or `kInvalidRequest` for the own id or a bad address.
  Expected<void> AddPeer(const PeerAddress& peer);

  /// Closes the connections with a peer and discards its queue.
  void RemovePeer(const VmId& vm);

  /// Waits until the queues of all connected peers are empty and all their
  /// messages are written and acknowledged by the peers' kernels, or until the
  /// timeout.
  ///
  /// @return True when nothing is left to send to a connected peer.
  bool Flush(absl::Duration timeout);

  /// Closes all connections and joins the thread. May be called repeatedly.
  void Stop();

  /// @return True when the outgoing connection to `vm` is authenticated.
  bool IsConnected(const VmId& vm) const;
  /// @return The counters of all peers, in the order of their ids.
  std::vector<PeerStats> Stats() const;
  /// @return Inbound connections that ended before they were authenticated or
  /// were closed for a protocol violation.
  uint64_t refused_connections() const;
  /// @return The listening address with the actual port.
  NetworkAddress listen_address() const;

 private:
  explicit PeerTransport(std::unique_ptr<PeerTransportCore> core);

  std::unique_ptr<PeerTransportCore> core_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_TRANSPORT_H_
