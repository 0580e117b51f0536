#include "camphorsail/control/read_tracker.h"

namespace camphorsail {

ReadTracker::ReadTracker(absl::Duration resend_interval)
    : resend_interval_(resend_interval) {}

void ReadTracker::Add(uint64_t token, uint64_t read_id, MonoTime deadline) {
  pending_.emplace(token, Pending{read_id, deadline, MonoTime(), std::nullopt});
}

std::vector<ForwardedRead> ReadTracker::TakeDue(const VmId& leader,
                                                MonoTime now) {
  std::vector<ForwardedRead> due;
  if (leader.value().empty()) {
    return due;
  }
  for (auto& [token, pending] : pending_) {
    if (!pending.index.has_value() && now >= pending.next_send) {
      pending.next_send = now + resend_interval_;
      due.push_back(ForwardedRead{token});
    }
  }
  return due;
}

void ReadTracker::OnResult(const ForwardedReadResult& result) {
  const auto position = pending_.find(result.token);
  if (position != pending_.end() && result.confirmed) {
    position->second.index = result.index;
  }
}

void ReadTracker::Collect(LogIndex applied,
                          MonoTime now,
                          std::vector<Answer>* answers) {
  for (auto position = pending_.begin(); position != pending_.end();) {
    const Pending& pending = position->second;
    if (pending.index.has_value() && *pending.index <= applied) {
      answers->push_back(Answer{pending.read_id, {}});
    } else if (now >= pending.deadline) {
      answers->push_back(Answer{
          pending.read_id,
          Fail(ErrorKind::kQuorumLost,
               "no leader confirmed in time that the state is current")});
    } else {
      ++position;
      continue;
    }
    position = pending_.erase(position);
  }
}

}  // namespace camphorsail
