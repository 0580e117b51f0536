#include "camphorsail/peer/peer_transport.h"

#include <utility>

#include "camphorsail/peer/peer_transport_core.h"

namespace camphorsail {

Expected<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    PeerTransportSettings settings,
    SharedHybridClock* clock,
    MessageHandler on_message,
    StateHandler on_state) {
  if (Expected<void> valid = settings.Validate(); !valid) {
    return tl::unexpected<Error>(std::move(valid.error()));
  }
  auto core = std::make_unique<PeerTransportCore>(
      std::move(settings), clock, std::move(on_message), std::move(on_state));
  if (Expected<void> started = core->Start(); !started) {
    return tl::unexpected<Error>(std::move(started.error()));
  }
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(core)));
}

PeerTransport::PeerTransport(std::unique_ptr<PeerTransportCore> core)
    : core_(std::move(core)) {}

PeerTransport::~PeerTransport() = default;

PeerSendResult PeerTransport::Send(const VmId& to, PeerMessage message) {
  return core_->Send(to, std::move(message));
}

Expected<void> PeerTransport::AddPeer(const PeerAddress& peer) {
  return core_->AddPeer(peer);
}

void PeerTransport::RemovePeer(const VmId& vm) {
  core_->RemovePeer(vm);
}

bool PeerTransport::Flush(absl::Duration timeout) {
  return core_->Flush(timeout);
}

void PeerTransport::Stop() {
  core_->Stop();
}

bool PeerTransport::IsConnected(const VmId& vm) const {
  return core_->IsConnected(vm);
}

std::vector<PeerStats> PeerTransport::Stats() const {
  return core_->Stats();
}

uint64_t PeerTransport::refused_connections() const {
  return core_->refused_connections();
}

NetworkAddress PeerTransport::listen_address() const {
  return core_->listen_address();
}

}  // namespace camphorsail
