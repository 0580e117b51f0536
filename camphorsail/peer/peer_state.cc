#include "camphorsail/peer/peer_state.h"

namespace camphorsail {

PeerStats PeerState::GetStats() const {
  const OutboundQueue::Counts counts = queue.GetCounts();
  PeerStats stats;
  stats.vm = vm;
  stats.outbound_connected = outbound_connected;
  stats.inbound_connected = inbound_connected;
  stats.messages_sent = messages_sent;
  stats.payload_bytes_sent = payload_bytes_sent;
  stats.messages_received = messages_received;
  stats.payload_bytes_received = payload_bytes_received;
  stats.wire_bytes_sent = wire_bytes_sent;
  stats.wire_bytes_received = wire_bytes_received;
  stats.messages_dropped = counts.dropped;
  stats.messages_refused = counts.refused;
  stats.connects = connects;
  stats.ping_timeouts = ping_timeouts;
  stats.queued_messages = counts.messages;
  stats.queued_bytes = counts.bytes;
  return stats;
}

}  // namespace camphorsail
