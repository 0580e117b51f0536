#include "camphorsail/usage/usage_collector.h"

namespace camphorsail {

void UsageCollector::Merge(const GatewayUsage& usage, MonoTime now) {
  const Source source(usage.gateway, usage.process);
  for (const UsageCount& reported : usage.counts) {
    // A window that is older than all kept ones has long been reported.
    if (windows_.size() >= kMaxWindows &&
        reported.window < windows_.begin()->first) {
      late_.push_back({reported.window, reported.account, reported.requests});
      continue;
    }
    Window& window = windows_[reported.window];
    Count& count = window.counts[source][reported.account];
    if (reported.requests <= count.requests) {
      continue;
    }
    if (window.is_closed) {
      late_.push_back({reported.window, reported.account,
                       reported.requests - count.requests});
    }
    count = {reported.requests, now};
  }
  while (windows_.size() > kMaxWindows) {
    windows_.erase(windows_.begin());
  }
}

template <typename Predicate>
std::vector<GatewayUsage> UsageCollector::Select(
    const Predicate& is_wanted) const {
  std::map<Source, std::vector<UsageCount>> selected;
  for (const auto& [number, window] : windows_) {
    for (const auto& [source, accounts] : window.counts) {
      for (const auto& [account, count] : accounts) {
        if (is_wanted(count)) {
          selected[source].push_back({number, account, count.requests});
        }
      }
    }
  }
  std::vector<GatewayUsage> usages;
  usages.reserve(selected.size());
  for (auto& [source, counts] : selected) {
    usages.push_back({source.first, source.second, std::move(counts)});
  }
  return usages;
}

std::vector<GatewayUsage> UsageCollector::RecentChanges(MonoTime now) const {
  return Select([now](const Count& count) {
    return now - count.changed_at <= kForwardTime;
  });
}

std::vector<GatewayUsage> UsageCollector::AllCounts() const {
  return Select([](const Count& /*count*/) { return true; });
}

std::vector<UsageWindow> UsageCollector::ClosedWindows(absl::Time true_now) {
  std::vector<UsageWindow> closed;
  for (auto& [number, window] : windows_) {
    if (true_now < settings_.CloseTimeOf(number)) {
      continue;
    }
    window.is_closed = true;
    std::map<ClientAccountId, uint64_t> sums;
    for (const auto& [source, accounts] : window.counts) {
      for (const auto& [account, count] : accounts) {
        sums[account] += count.requests;
      }
    }
    UsageWindow sum{number, {}};
    sum.accounts.reserve(sums.size());
    for (const auto& [account, requests] : sums) {
      sum.accounts.push_back({account, requests});
    }
    closed.push_back(std::move(sum));
  }
  return closed;
}

}  // namespace camphorsail
