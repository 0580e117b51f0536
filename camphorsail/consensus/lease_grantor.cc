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
  GrantRecord* record = Find(vm, request.session);
  if (record == nullptr) {
    records_.push_back(
        GrantRecord{vm, request.session, now, {}, {}, false, {}});
    record = &records_.back();
  }
  record->expires = std::max(record->expires, now + lease_length_);
  Confirm(vm, request);
}

void LeaseGrantor::Confirm(const VmId& vm, const LeaseRequest& request) {
  GrantRecord* record = Find(vm, request.session);
  if (record == nullptr) {
    return;
  }
  record->committed = std::max(record->committed, request.committed);
  record->last_position =
      std::max(record->last_position, request.last_position);
}

bool LeaseGrantor::MayAcknowledge(LogPosition position, MonoTime now) const {
  if (now < wait_until_) {
    return false;
  }
  return std::none_of(records_.begin(), records_.end(),
                      [&](const GrantRecord& r) {
                        return now < r.expires && r.last_position < position;
                      });
}

void LeaseGrantor::ForEachUnconfirmedHolder(
    LogPosition position,
    MonoTime now,
    absl::Duration first_delay,
    const std::function<void(const VmId&, uint64_t, LogIndex)>& push) {
  RemoveExpired(now);
  for (GrantRecord& record : records_) {
    if (record.last_position >= position) {
      record.confirmation_missing = false;
      continue;
    }
    if (!record.confirmation_missing) {
      record.confirmation_missing = true;
      record.next_push = now + first_delay;
    }
    if (now >= record.next_push) {
      record.next_push = now + kPushInterval;
      push(record.vm, record.session, record.committed);
    }
  }
}

void LeaseGrantor::RemoveExpired(MonoTime now) {
  std::erase_if(records_, [&](const GrantRecord& record) {
    return now >= record.expires;
  });
}

LeaseGrantor::GrantRecord* LeaseGrantor::Find(const VmId& vm,
                                              uint64_t session) {
  const auto found = std::find_if(
      records_.begin(), records_.end(),
      [&](const GrantRecord& r) { return r.vm == vm && r.session == session; });
  return found == records_.end() ? nullptr : &*found;
}

}  // namespace camphorsail
