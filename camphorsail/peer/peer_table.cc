#include "camphorsail/peer/peer_table.h"

#include <utility>

namespace camphorsail {

PeerTable::PeerTable(const PeerTransportSettings& settings)
    : settings_(settings) {
  absl::MutexLock lock(&mutex_);
  for (const PeerAddress& peer : settings_.peers) {
    peers_[peer.vm] = MakeState(peer);
  }
}

Ref<PeerState> PeerTable::Find(const VmId& vm) const {
  absl::ReaderMutexLock lock(&mutex_);
  const auto it = peers_.find(vm);
  return it == peers_.end() ? Ref<PeerState>() : it->second;
}

PeerSendResult PeerTable::Push(const VmId& to,
                               PeerMessage message,
                               bool* wake) {
  if (message.payload.size() > settings_.max_message_bytes) {
    return PeerSendResult::kTooLarge;
  }
  const Ref<PeerState> peer = Find(to);
  if (!peer) {
    return PeerSendResult::kUnknownPeer;
  }
  if (!peer->queue.Push(std::move(message))) {
    return PeerSendResult::kQueueFull;
  }
  if (!peer->send_pending.exchange(true)) {
    absl::MutexLock lock(&mutex_);
    pending_.push_back(peer);
    *wake = true;
  }
  return PeerSendResult::kQueued;
}

Expected<void> PeerTable::Add(const PeerAddress& peer) {
  PeerTransportSettings checked = settings_;
  checked.peers = {peer};
  if (Expected<void> valid = checked.Validate(); !valid) {
    return valid;
  }
  absl::MutexLock lock(&mutex_);
  Ref<PeerState>& state = peers_[peer.vm];
  if (state && state->address == peer.address) {
    return {};
  }
  const Ref<PeerState> previous = state;
  state = MakeState(peer);
  PeerMessage message;
  while (previous && previous->queue.Pop(&message)) {
    state->queue.Push(std::move(message));
  }
  changed_ = true;
  return {};
}

void PeerTable::Remove(const VmId& vm) {
  absl::MutexLock lock(&mutex_);
  peers_.erase(vm);
  changed_ = true;
}

bool PeerTable::TakeChanges(std::vector<Ref<PeerState>>* peers) {
  absl::MutexLock lock(&mutex_);
  if (!std::exchange(changed_, false)) {
    return false;
  }
  peers->clear();
  for (const auto& [vm, peer] : peers_) {
    peers->push_back(peer);
  }
  return true;
}

std::vector<Ref<PeerState>> PeerTable::TakePending() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(pending_, {});
}

bool PeerTable::HasUnsentMessages() const {
  absl::ReaderMutexLock lock(&mutex_);
  for (const auto& [vm, peer] : peers_) {
    // The queue must be read before `maybe_unacknowledged`: the transport's
    // thread sets `maybe_unacknowledged` before it removes a message from the
    // queue, so that a message being moved is seen in one of the two.
    if (peer->outbound_connected &&
        (peer->queue.GetCounts().messages > 0 || peer->maybe_unacknowledged)) {
      return true;
    }
  }
  return false;
}

std::vector<PeerStats> PeerTable::Stats() const {
  absl::ReaderMutexLock lock(&mutex_);
  std::vector<PeerStats> stats;
  stats.reserve(peers_.size());
  for (const auto& [vm, peer] : peers_) {
    stats.push_back(peer->GetStats());
  }
  return stats;
}

Ref<PeerState> PeerTable::MakeState(const PeerAddress& peer) const {
  return MakeRef<PeerState>(peer.vm, peer.address,
                            settings_.max_queued_messages,
                            settings_.max_queued_bytes);
}

}  // namespace camphorsail
