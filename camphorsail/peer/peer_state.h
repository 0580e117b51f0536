#ifndef CAMPHORSAIL_PEER_PEER_STATE_H_
#define CAMPHORSAIL_PEER_PEER_STATE_H_

#include <atomic>
#include <cstdint>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/peer/outbound_queue.h"
#include "camphorsail/peer/peer_stats.h"

namespace camphorsail {

/// The transport's state for one peer. The senders' threads use the queue and
/// the atomic members; the transport's thread uses all members.
struct PeerState : RefCounted<PeerState> {
  PeerState(const VmId& vm_id,
            NetworkAddress peer_address,
            size_t max_messages,
            size_t max_bytes)
      : vm(vm_id),
        address(std::move(peer_address)),
        queue(max_messages, max_bytes) {}

  /// @return The counters with the queue's sizes.
  PeerStats GetStats() const;

  const VmId vm;
  /// Constant: when the peer's address changes, a new `PeerState` replaces this
  /// one.
  const NetworkAddress address;
  OutboundQueue queue;

  /// True while the peer is in the list that `PeerTable::TakePending` returns.
  std::atomic<bool> send_pending{false};
  /// True while a message that was taken from the queue may not have been
  /// written to the socket or acknowledged by the peer's kernel.
  std::atomic<bool> maybe_unacknowledged{false};
  std::atomic<bool> outbound_connected{false};
  std::atomic<bool> inbound_connected{false};
  std::atomic<uint64_t> messages_sent{0};
  std::atomic<uint64_t> payload_bytes_sent{0};
  std::atomic<uint64_t> messages_received{0};
  std::atomic<uint64_t> payload_bytes_received{0};
  std::atomic<uint64_t> wire_bytes_sent{0};
  std::atomic<uint64_t> wire_bytes_received{0};
  std::atomic<uint64_t> connects{0};
  std::atomic<uint64_t> ping_timeouts{0};

  // Used on the transport's thread only.

  /// Ids of the connections; zero when there is none.
  uint64_t outbound_id = 0;
  uint64_t inbound_id = 0;
  MonoTime next_attempt;
  /// The last delay before a reconnection; zero when there was none.
  absl::Duration backoff = absl::ZeroDuration();
  /// True once a failure has been logged since the last connection.
  bool failure_logged = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_STATE_H_
