#include "camphorsail/consensus/lease_grantor.h"

#include <algorithm>

namespace camphorsail {
namespace {

/// Interval at which a tail is sent again until the holder confirms it. Short
/// compared with a lease.
constexpr absl::Duration kPushInterval = absl::Milliseconds(100);

}  // namespace

LeaseGrantor::LeaseGrantor(absl::Duration lease_length, MonoTime wait_until)
    : lease_length_(lease_length), wait_until_(wait_until) {}

void LeaseGrantor::Grant(const VmId& vm,
                         const LeaseRequest& request,
                         MonoTime now) {
  RemoveExpired(now);
  Record* record = Find(vm, request.session);
  if (record == nullptr) {
    records_.push_back(Record{vm, request.session, now, {}, {}, false, {}});
    record = &records_.back();
  }
  record->expires = std::max(record->expires, now + lease_length_);
  Confirm(vm, request);
}

void LeaseGrantor::Confirm(const VmId& vm, const LeaseRequest& request) {
  Record* record = Find(vm, request.session);
  if (record == nullptr) {
    return;
  }
  record->committed = std::max(record->committed, request.committed);
  record->effective = std::max(record->effective, request.effective);
}

bool LeaseGrantor::MayAcknowledge(LogPosition position, MonoTime now) const {
  if (now < wait_until_) {
    return false;
  }
  return std::none_of(records_.begin(), records_.end(), [&](const Record& r) {
    return now < r.expires && r.effective < position;
  });
}

void LeaseGrantor::ForEachToPush(
    LogPosition position,
    MonoTime now,
    absl::Duration first_delay,
    const std::function<void(const VmId&, uint64_t, LogIndex)>& push) {
  RemoveExpired(now);
  for (Record& record : records_) {
    if (record.effective >= position) {
      record.push_due = false;
      continue;
    }
    if (!record.push_due) {
      record.push_due = true;
      record.next_push = now + first_delay;
    }
    if (now >= record.next_push) {
      record.next_push = now + kPushInterval;
      push(record.vm, record.session, record.committed);
    }
  }
}

void LeaseGrantor::RemoveExpired(MonoTime now) {
  std::erase_if(records_,
                [&](const Record& record) { return now >= record.expires; });
}

LeaseGrantor::Record* LeaseGrantor::Find(const VmId& vm, uint64_t session) {
  const auto found = std::find_if(
      records_.begin(), records_.end(),
      [&](const Record& r) { return r.vm == vm && r.session == session; });
  return found == records_.end() ? nullptr : &*found;
}

}  // namespace camphorsail
