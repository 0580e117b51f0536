#include "camphorsail/peer/outbound_queue.h"

#include <iterator>
#include <utility>

namespace camphorsail {

OutboundQueue::OutboundQueue(size_t max_messages, size_t max_bytes)
    : max_messages_(max_messages), max_bytes_(max_bytes) {}

bool OutboundQueue::Push(PeerMessage message) {
  const size_t bytes = message.payload.size();
  absl::MutexLock lock(&mutex_);
  const size_t non_replaceable_messages =
      messages_.size() - replaceable_.size();
  const size_t non_replaceable_bytes = counts_.bytes - replaceable_bytes_;
  if (non_replaceable_messages + 1 > max_messages_ ||
      non_replaceable_bytes + bytes > max_bytes_) {
    ++counts_.refused;
    return false;
  }
  while (messages_.size() + 1 > max_messages_ ||
         counts_.bytes + bytes > max_bytes_) {
    RemoveOldestReplaceable();
    ++counts_.dropped;
  }
  const bool replaceable = message.replaceable;
  messages_.push_back(std::move(message));
  counts_.bytes += bytes;
  if (replaceable) {
    replaceable_.push_back(std::prev(messages_.end()));
    replaceable_bytes_ += bytes;
  }
  return true;
}

bool OutboundQueue::Pop(PeerMessage* message) {
  absl::MutexLock lock(&mutex_);
  if (messages_.empty()) {
    return false;
  }
  *message = std::move(messages_.front());
  messages_.pop_front();
  counts_.bytes -= message->payload.size();
  if (message->replaceable) {
    // The message was the front of the queue, so it was the oldest replaceable
    // one.
    replaceable_.pop_front();
    replaceable_bytes_ -= message->payload.size();
  }
  return true;
}

void OutboundQueue::Clear() {
  absl::MutexLock lock(&mutex_);
  messages_.clear();
  replaceable_.clear();
  replaceable_bytes_ = 0;
  counts_.bytes = 0;
}

OutboundQueue::Counts OutboundQueue::GetCounts() const {
  absl::MutexLock lock(&mutex_);
  Counts counts = counts_;
  counts.messages = messages_.size();
  return counts;
}

void OutboundQueue::RemoveOldestReplaceable() {
  const auto oldest = replaceable_.front();
  replaceable_.pop_front();
  counts_.bytes -= oldest->payload.size();
  replaceable_bytes_ -= oldest->payload.size();
  messages_.erase(oldest);
}

}  // namespace camphorsail
