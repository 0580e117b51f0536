#ifndef CAMPHORSAIL_PEER_OUTBOUND_QUEUE_H_
#define CAMPHORSAIL_PEER_OUTBOUND_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "camphorsail/peer/peer_message.h"

namespace camphorsail {

/// The bounded queue of messages to one peer. Thread-safe.
class OutboundQueue {
 public:
  /// Sizes and counters at one moment.
  struct Counts {
    size_t messages = 0;
    size_t bytes = 0;
    /// Replaceable messages dropped to make room.
    uint64_t dropped = 0;
    /// Messages refused because they did not fit.
    uint64_t refused = 0;
  };

  OutboundQueue(size_t max_messages, size_t max_bytes);

  /// Appends a message. When the queue is full, drops the oldest replaceable
  /// messages if that makes enough room, and otherwise drops nothing.
  ///
  /// @return False when there is no room.
  bool Push(PeerMessage message);

  /// @return False when the queue is empty.
  bool Pop(PeerMessage* message);

  /// Discards all messages, without counting them as dropped.
  void Clear();

  Counts GetCounts() const;

 private:
  void RemoveOldestReplaceable() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t max_messages_;
  const size_t max_bytes_;
  mutable absl::Mutex mutex_;
  std::list<PeerMessage> messages_ ABSL_GUARDED_BY(mutex_);
  /// The replaceable elements of `messages_`, oldest first.
  std::deque<std::list<PeerMessage>::iterator> replaceable_
      ABSL_GUARDED_BY(mutex_);
  size_t replaceable_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  /// `messages` is not maintained here; `GetCounts` sets it to the size of
  /// `messages_`.
  Counts counts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_OUTBOUND_QUEUE_H_
