#include "camphorsail/peer/peer_transport_settings.h"

#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

/// Upper limit of `max_message_bytes`, which keeps a frame within its length
/// field and within the memory of a VM.
constexpr size_t kMaxMessageBytes = 64 << 20;

Expected<void> Require(bool condition, const char* message) {
  if (!condition) {
    return Fail(ErrorKind::kInvalidRequest, message);
  }
  return {};
}

}  // namespace

Expected<void> PeerTransportSettings::Validate() const {
  for (const PeerAddress& peer : peers) {
    const Expected<NetworkAddress> parsed =
        ParseNetworkAddress(ToString(peer.address));
    if (peer.vm.value().empty() || peer.vm == vm || !parsed ||
        peer.address.port == 0) {
      return Fail(
          ErrorKind::kInvalidRequest,
          absl::StrCat("peers: ", peer.vm.value(), "=", ToString(peer.address),
                       " must have another VM's id, a numeric IP address "
                       "and a port"));
    }
  }
  return Require(!vm.value().empty(), "vm: must not be empty")
      .and_then([&] {
        return Require(ParseNetworkAddress(ToString(listen)).has_value(),
                       "listen: must be a numeric IP address");
      })
      .and_then([&] {
        return Require(secret.size() >= kMinSecretBytes,
                       "secret: must have at least 16 bytes");
      })
      .and_then([&] {
        return Require(
            max_message_bytes > 0 && max_message_bytes <= kMaxMessageBytes,
            "max_message_bytes: must be from 1 to 64 MiB");
      })
      .and_then([&] {
        return Require(
            max_queued_messages > 0 && max_queued_bytes >= max_message_bytes,
            "max_queued_bytes: must be at least max_message_bytes, and "
            "max_queued_messages above zero");
      })
      .and_then([&] {
        return Require(
            max_inbound_connections > 0 && max_unauthenticated_connections > 0,
            "max_inbound_connections and max_unauthenticated_connections: must "
            "be above zero");
      })
      .and_then([&] {
        return Require(
            handshake_timeout > absl::ZeroDuration() &&
                ping_interval > absl::ZeroDuration() &&
                idle_timeout > ping_interval,
            "idle_timeout: must be above ping_interval; ping_interval "
            "and handshake_timeout must be above zero");
      })
      .and_then([&] {
        return Require(initial_backoff > absl::ZeroDuration() &&
                           max_backoff >= initial_backoff,
                       "max_backoff: must be at least initial_backoff, which "
                       "must be above zero");
      });
}

}  // namespace camphorsail
