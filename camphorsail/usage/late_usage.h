#ifndef CAMPHORSAIL_USAGE_LATE_USAGE_H_
#define CAMPHORSAIL_USAGE_LATE_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "camphorsail/usage/usage_window.h"

namespace camphorsail {

/// Requests that no usage report contains, by window and account, until they
/// are logged. Not thread-safe.
class LateUsage {
 public:
  struct Item {
    UsageWindowNumber window;
    AccountUsage usage;
  };

  void Add(UsageWindowNumber window,
           const ClientAccountId& account,
           uint64_t requests) {
    std::pair<UsageWindowNumber, ClientAccountId> key(window, account);
    if (requests_.size() >= kMaxItems && !requests_.contains(key)) {
      key = {UsageWindowNumber(), ClientAccountId()};
    }
    requests_[std::move(key)] += requests;
  }
  /// @return What was added since the last call. An item without an account is
  /// the sum of those for which there was no room.
  std::vector<Item> Take() {
    std::vector<Item> items;
    items.reserve(requests_.size());
    for (const auto& [key, requests] : requests_) {
      items.push_back({key.first, {key.second, requests}});
    }
    requests_.clear();
    return items;
  }

 private:
  static constexpr size_t kMaxItems = 4096;

  std::map<std::pair<UsageWindowNumber, ClientAccountId>, uint64_t> requests_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_USAGE_LATE_USAGE_H_
