#ifndef CAMPHORSAIL_PEER_PEER_TABLE_H_
#define CAMPHORSAIL_PEER_PEER_TABLE_H_

#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/btree_map.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/peer/peer_address.h"
#include "camphorsail/peer/peer_message.h"
#include "camphorsail/peer/peer_send_result.h"
#include "camphorsail/peer/peer_state.h"
#include "camphorsail/peer/peer_stats.h"
#include "camphorsail/peer/peer_transport_settings.h"

namespace camphorsail {

/// The peers of a transport and their queues, shared by the senders' threads
/// and the transport's thread. Thread-safe.
class PeerTable {
 public:
  /// @param settings Must outlive the table.
  explicit PeerTable(const PeerTransportSettings& settings);

  /// @return The peer's state; null when it is not configured.
  Ref<PeerState> Find(const VmId& vm) const;

  /// Queues a message.
  ///
  /// @param wake Set to true when the peer was added to the list of
  /// `TakePending`, so that the transport's thread must be woken.
  PeerSendResult Push(const VmId& to, PeerMessage message, bool* wake);
  /// Adds a peer, or changes the address of a known peer and keeps its queued
  /// messages.
  Expected<void> Add(const PeerAddress& peer);
  void Remove(const VmId& vm);

  /// @param peers Set to all peers when a peer was added, changed or removed
  /// since the last call.
  /// @return True when they changed.
  bool TakeChanges(std::vector<Ref<PeerState>>* peers);
  /// @return The peers to whose queues messages were added since the last call.
  std::vector<Ref<PeerState>> TakePending();

  /// @return True when a connected peer has messages queued or unwritten.
  bool HasUnsentMessages() const;
  /// @return The counters of all peers, in the order of their ids.
  std::vector<PeerStats> Stats() const;

 private:
  Ref<PeerState> MakeState(const PeerAddress& peer) const;

  const PeerTransportSettings& settings_;
  mutable absl::Mutex mutex_;
  absl::btree_map<VmId, Ref<PeerState>> peers_ ABSL_GUARDED_BY(mutex_);
  bool changed_ ABSL_GUARDED_BY(mutex_) = true;
  std::vector<Ref<PeerState>> pending_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_TABLE_H_
