#ifndef CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_
#define CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"

namespace camphorsail {

/// Lease that bounds how long a gateway may use its routing table without a
/// confirmation by a replica of the control state (see `Replica`). A
/// confirmation extends the lease from the time at which the gateway sent its
/// poll. This guarantees two things: the table contains every change that the
/// replicas had acknowledged before the poll was sent, and every gateway that
/// still serves requests applies a later change within the length of the lease.
/// Not thread-safe; used on the event loop's thread only.
class TableLease {
 public:
  /// @param length Time for which one confirmation is valid.
  /// @param first_token Start value of the poll tokens. Has to differ between
  /// starts of the process, so that a late answer to a poll of an earlier
  /// process confirms nothing.
  TableLease(absl::Duration length, uint64_t first_token)
      : length_(length), last_token_(first_token) {}

  /// @param length Time for which confirmations from now on are valid.
  void SetLength(absl::Duration length) { length_ = length; }

  /// Registers a poll that is sent now.
  /// @return The token to send with the poll.
  uint64_t OnPoll(MonoTime now) {
    polls_.emplace_back(++last_token_, now);
    while (now - polls_.front().second > length_) {
      polls_.pop_front();
    }
    return last_token_;
  }

  /// Extends the lease by the confirmation of a poll. The gateway must already
  /// use the table that came with the confirmation.
  /// @param token Token of the poll.
  void OnConfirmed(uint64_t token) {
    const auto found =
        std::find_if(polls_.begin(), polls_.end(),
                     [&](const auto& poll) { return poll.first == token; });
    if (found != polls_.end()) {
      valid_until_ = std::max(valid_until_, found->second + length_);
    }
  }

  /// @return End of the lease; requests may be sent before this time.
  MonoTime valid_until() const { return valid_until_; }
  bool IsValid(MonoTime now) const { return now < valid_until_; }

 private:
  absl::Duration length_;
  uint64_t last_token_;
  /// Tokens and sending times of the polls that may still extend the lease.
  std::deque<std::pair<uint64_t, MonoTime>> polls_;
  MonoTime valid_until_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_TABLE_LEASE_H_
