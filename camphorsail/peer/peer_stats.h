#ifndef CAMPHORSAIL_PEER_PEER_STATS_H_
#define CAMPHORSAIL_PEER_PEER_STATS_H_

#include <cstdint>

#include "camphorsail/base/ids.h"

namespace camphorsail {

/// Counters of a `PeerTransport` for one peer since the transport's start.
struct PeerStats {
  VmId vm;
  /// True when the outgoing connection is authenticated.
  bool outbound_connected = false;
  /// True when the peer's own connection to this VM is authenticated.
  bool inbound_connected = false;
  /// Messages taken from the queue to be sent on a connection, and their
  /// payload bytes. These messages may still be lost when the connection
  /// breaks.
  uint64_t messages_sent = 0;
  uint64_t payload_bytes_sent = 0;
  /// Messages passed to the handler, and their payload bytes.
  uint64_t messages_received = 0;
  uint64_t payload_bytes_received = 0;
  /// Bytes written to and read from the sockets of all connections, including
  /// framing and PINGs.
  uint64_t wire_bytes_sent = 0;
  uint64_t wire_bytes_received = 0;
  /// Replaceable messages dropped from a full queue.
  uint64_t messages_dropped = 0;
  /// Messages that `Send` refused because the queue was full.
  uint64_t messages_refused = 0;
  /// Outgoing connections authenticated.
  uint64_t connects = 0;
  /// Connections closed because the peer stopped answering PINGs.
  uint64_t ping_timeouts = 0;
  uint64_t queued_messages = 0;
  uint64_t queued_bytes = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_STATS_H_
