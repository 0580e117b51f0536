#ifndef CAMPHORSAIL_PEER_PEER_TRANSPORT_SETTINGS_H_
#define CAMPHORSAIL_PEER_PEER_TRANSPORT_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/network_address.h"
#include "camphorsail/peer/peer_address.h"

namespace camphorsail {

/// Settings of a `PeerTransport`. Checked once by `Validate`.
struct PeerTransportSettings {
  VmId vm;
  /// Outgoing connections use this IP address as their source, so that the
  /// receiver can compare it with the sender's configured address.
  NetworkAddress listen;
  std::vector<PeerAddress> peers;
  /// Shared by all daemons; at least `kMinSecretBytes` long.
  std::string secret;

  /// True in deployments in which VMs discover each other at run time. The id
  /// of each VM is then its IP address. A VM that knows the secret becomes a
  /// peer when it connects; it is assumed to listen on the port of `listen`.
  bool accept_unlisted_peers = false;

  /// Largest payload of one message, in bytes. A replicated command is sent in
  /// one message.
  size_t max_message_bytes = 16 << 20;
  /// Bounds of the queue to one peer.
  size_t max_queued_messages = 8192;
  size_t max_queued_bytes = 32 << 20;
  /// Bounds of the connections accepted, in total and before authentication.
  size_t max_inbound_connections = 1024;
  size_t max_unauthenticated_connections = 64;

  /// Time limit for connecting and authenticating.
  absl::Duration handshake_timeout = absl::Seconds(2);
  /// A PING is sent after this time without a byte from the peer.
  absl::Duration ping_interval = absl::Milliseconds(500);
  /// The connection is closed after this time without a byte from the peer.
  absl::Duration idle_timeout = absl::Milliseconds(1500);
  /// Delay before the first reconnection; it doubles up to the maximum, and
  /// each delay is multiplied by a random factor in [0.5, 1).
  absl::Duration initial_backoff = absl::Milliseconds(50);
  absl::Duration max_backoff = absl::Seconds(2);

  static constexpr size_t kMinSecretBytes = 16;

  /// @return Success, or `kInvalidRequest` naming the field.
  Expected<void> Validate() const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_TRANSPORT_SETTINGS_H_
