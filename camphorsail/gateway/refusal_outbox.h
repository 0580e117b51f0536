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

/// Refusals of a gateway on their way to a replica. One report for each account
/// and class waits at a time, since a minute is recorded once; it is sent with
/// each poll until a replica has answered one. Bounded: what does not fit is
/// counted. Belongs to the loop's thread.
class RefusalOutbox {
 public:
  void Add(const ClientAccountId& account,
           const ClassId& class_id,
           ErrorKind kind) {
    if (waiting_.size() >= kCapacity) {
      ++dropped_;
      return;
    }
    waiting_.try_emplace({account, class_id}, Entry{kind, 0});
  }

  /// @param token Of the poll that carries the reports.
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

  /// A replica has taken the reports of this poll.
  void OnAnswered(uint64_t token) {
    std::erase_if(waiting_, [&](const auto& item) {
      return item.second.first_token != 0 && item.second.first_token <= token;
    });
  }

  /// @return Refusals that found no room.
  uint64_t dropped() const { return dropped_; }

 private:
  /// More than the accounts times the classes of a deployment that a gateway
  /// refuses between two polls.
  static constexpr size_t kCapacity = 4096;

  struct Entry {
    ErrorKind kind;
    /// First poll that carried it; zero before.
    uint64_t first_token;
  };

  std::map<std::pair<ClientAccountId, ClassId>, Entry> waiting_;
  uint64_t dropped_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_REFUSAL_OUTBOX_H_
