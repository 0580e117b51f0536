#ifndef CAMPHORSAIL_PEER_PEER_MESSAGE_H_
#define CAMPHORSAIL_PEER_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/hybrid_clock.h"

namespace camphorsail {

/// Selects the reader of a message. The values are part of the protocol: they
/// are never renumbered, and a message on an unknown channel is counted and
/// ignored.
enum class PeerChannel : uint8_t {
  kConsensus = 1,
  /// Lease requests and grants.
  kLease = 2,
  /// Forwarded commands and their results.
  kCommand = 3,
  kServerDelta = 4,
  kServerDigest = 5,
  kLoadDigest = 6,
  /// Limit demands and shares.
  kLimits = 7,
  /// Timeline queries and their results.
  kTimeline = 8,
  /// A gateway asks a replica for the routing table and a lease.
  kGatewayPoll = 9,
  kGatewayUpdate = 10,
  /// Replicas tell each other the load of the gateways that poll them.
  kGatewayGroupLoad = 11,
};

/// One message between daemons.
struct PeerMessage {
  PeerChannel channel = PeerChannel::kConsensus;
  /// Opaque to the transport; usually MessagePack.
  std::string payload;
  /// True when a later message makes this one obsolete, so that it may be
  /// dropped when the queue to its receiver is full. Not transmitted.
  bool replaceable = false;
  /// The sender's clock when it sent the message. Set by the transport.
  HybridTimestamp sent_at;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_MESSAGE_H_
