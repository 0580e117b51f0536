#include "camphorsail/runtime/timeline_collector.h"

#include <utility>

#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/runtime/timeline_query.h"
#include "camphorsail/timeline/merge_timelines.h"
#include "camphorsail/timeline/timeline_codec.h"

namespace camphorsail {

TimelineCollector::TimelineCollector(const TimelineBuffer* buffer,
                                     std::vector<VmId> peers,
                                     Send send)
    : buffer_(buffer), peers_(std::move(peers)), send_(std::move(send)) {}

TimelineCollector::Result TimelineCollector::Query(const TimelineFilter& filter,
                                                   size_t limit) {
  TimelineQueryMessage message = MakeTimelineQuery(filter);
  message.limit = limit;
  uint64_t query = 0;
  {
    absl::MutexLock lock(&mutex_);
    query = next_query_++;
    pending_[query].waiting_for.insert(peers_.begin(), peers_.end());
  }
  message.query = query;
  const std::string payload = PackBytes(message);
  for (const VmId& peer : peers_) {
    send_(peer, payload);
  }
  Pending pending;
  {
    absl::MutexLock lock(&mutex_);
    const auto complete = [this, query]()
                              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                                return pending_[query].waiting_for.empty();
                              };
    mutex_.AwaitWithTimeout(absl::Condition(&complete), kTimeout);
    pending = std::move(pending_[query]);
    pending_.erase(query);
  }
  Result result;
  result.unreachable_vms.assign(pending.waiting_for.begin(),
                                pending.waiting_for.end());
  pending.slices.push_back(buffer_->Query(filter, limit));
  result.slice = MergeTimelines(std::move(pending.slices), filter, limit);
  return result;
}

void TimelineCollector::OnMessage(const VmId& from,
                                  const std::string& payload) {
  const auto decoded = UnpackBytes<TimelineQueryMessage>(payload);
  if (!decoded) {
    return;
  }
  const TimelineQueryMessage& message = *decoded;
  if (!message.is_answer) {
    TimelineQueryMessage answer;
    answer.query = message.query;
    answer.is_answer = true;
    answer.slice = EncodeTimeline(buffer_->Query(
        MakeTimelineFilter(message), static_cast<size_t>(message.limit)));
    send_(from, PackBytes(answer));
    return;
  }
  Expected<TimelineSlice> slice = DecodeTimeline(message.slice);
  if (!slice) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  const auto position = pending_.find(message.query);
  if (position != pending_.end() &&
      position->second.waiting_for.erase(from) > 0) {
    position->second.slices.push_back(*std::move(slice));
  }
}

}  // namespace camphorsail
