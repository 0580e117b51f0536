#ifndef CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_
#define CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// How long a gateway may go on with its routing table. Each confirmation by a
/// replica counts from the time at which the gateway asked, so that whatever
/// was acknowledged before is in the table, and a change that is acknowledged
/// later is followed within the lease's length by every gateway that still
/// serves. Belongs to the loop's thread.
class TableLease {
 public:
  /// @param length Of one confirmation.
  /// @param first_token Differs between starts of the process, so that a late
  /// answer to an earlier one confirms nothing.
  TableLease(absl::Duration length, uint64_t first_token)
      : length_(length), last_token_(first_token) {}

  /// @param length Of confirmations from now on.
  void SetLength(absl::Duration length) { length_ = length; }

  /// @return The token of a poll that is sent now.
  uint64_t OnPoll(MonoTime now) {
    polls_.emplace_back(++last_token_, now);
    while (now - polls_.front().second > length_) {
      polls_.pop_front();
    }
    return last_token_;
  }

  /// Takes the confirmation of a poll. The table that came with it must be in
  /// use.
  void OnConfirmed(uint64_t token) {
    const auto found =
        std::find_if(polls_.begin(), polls_.end(),
                     [&](const auto& poll) { return poll.first == token; });
    if (found != polls_.end()) {
      valid_until_ = std::max(valid_until_, found->second + length_);
    }
  }

  /// @return Requests may be sent while the clock is before this time.
  MonoTime valid_until() const { return valid_until_; }
  bool IsValid(MonoTime now) const { return now < valid_until_; }

 private:
  absl::Duration length_;
  uint64_t last_token_;
  /// Polls that may still extend the lease, with their sending times.
  std::deque<std::pair<uint64_t, MonoTime>> polls_;
  MonoTime valid_until_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_
