#ifndef CAMPHORSAIL_GATEWAY_REFUSAL_OUTBOX_H_
#define CAMPHORSAIL_GATEWAY_REFUSAL_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "camphorsail/base/error_kind.h"
#include "camphorsail/gateway/refusal_report.h"

namespace camphorsail {

/// Queue of refusals that a gateway has to report to a replica. It keeps at
/// most one report for each account and class, because a replica records at
/// most one refusal a minute for each of them. A report is sent with each poll
/// until a replica answers one of these polls. The queue is bounded; refusals
/// that do not fit are dropped and counted. Not thread-safe; used on the event
/// loop's thread only.
class RefusalOutbox {
 public:
  /// Queues a refusal.
  void Add(const ClientAccountId& account,
           const ClassId& class_id,
           ErrorKind kind) {
    if (waiting_.size() >= kCapacity) {
      ++dropped_;
      return;
    }
    waiting_.try_emplace({account, class_id}, Entry{kind, 0});
  }

  /// @param token Token of the poll that carries the reports.
  /// @return The reports to send with the poll; they stay queued.
  std::vector<RefusalReport> Take(uint64_t token) {
    std::vector<RefusalReport> reports;
    for (auto& [key, entry] : waiting_) {
      if (entry.first_token == 0) {
        entry.first_token = token;
      }
      reports.push_back(
          {key.first, key.second, static_cast<uint8_t>(entry.kind)});
    }
    return reports;
  }

  /// Removes the reports that were sent with a poll which a replica has
  /// answered.
  /// @param token Token of that poll.
  void OnAnswered(uint64_t token) {
    std::erase_if(waiting_, [&](const auto& item) {
      return item.second.first_token != 0 && item.second.first_token <= token;
    });
  }

  /// @return Refusals that were dropped because the queue was full.
  uint64_t dropped() const { return dropped_; }

 private:
  /// Larger than the number of pairs of account and class that a gateway
  /// refuses between two polls.
  static constexpr size_t kCapacity = 4096;

  struct Entry {
    /// Reason of the first refusal.
    ErrorKind kind;
    /// Token of the first poll that carried the report; zero until then.
    uint64_t first_token;
  };

  std::map<std::pair<ClientAccountId, ClassId>, Entry> waiting_;
  uint64_t dropped_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_REFUSAL_OUTBOX_H_
