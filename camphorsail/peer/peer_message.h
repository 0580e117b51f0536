#ifndef CAMPHORSAIL_PEER_PEER_MESSAGE_H_
#define CAMPHORSAIL_PEER_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/hybrid_clock.h"

namespace camphorsail {

/// Selects the component that handles a message. The values are part of the
/// protocol and must never be renumbered. A message on an unknown channel is
/// counted and ignored.
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
  /// Request of a gateway to a replica for the routing table and a lease.
  kGatewayPoll = 9,
  kGatewayUpdate = 10,
  /// Sent between replicas: the load of the gateways that poll the sender.
  kGatewayGroupLoad = 11,
  /// Sent to the replica that reports usage: counts of gateways.
  kUsage = 12,
};

/// One message between daemons.
struct PeerMessage {
  PeerChannel channel = PeerChannel::kConsensus;
  /// Opaque to the transport; usually MessagePack.
  std::string payload;
  /// True when a later message makes this one obsolete, so that it may be
  /// dropped when the queue to its receiver is full. Not transmitted.
  bool replaceable = false;
  /// Time on the sender's clock at which the message was sent. Set by the
  /// transport.
  HybridTimestamp sent_at;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_MESSAGE_H_
