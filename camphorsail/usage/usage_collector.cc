#include "camphorsail/usage/usage_collector.h"

#include <algorithm>

namespace camphorsail {

void UsageCollector::Merge(const GatewayUsage& usage, absl::Time true_now) {
  if (usage.counts.empty()) {
    return;
  }
  const uint32_t source = IndexOf({usage.gateway, usage.process});
  for (const UsageCount& reported : usage.counts) {
    if (reported.requests == 0) {
      continue;
    }
    Key key{reported.window, source, reported.account};
    auto found = counts_.find(key);
    if (found == counts_.end()) {
      if (reported.window <= removed_through_ ||
          settings_.IsImplausible(reported.window, true_now) || !MakeRoom()) {
        late_.Add(reported.window, reported.account, reported.requests);
        continue;
      }
      found = counts_.emplace(std::move(key), Count()).first;
    }
    Count& count = found->second;
    if (reported.requests <= count.requests) {
      continue;
    }
    if (windows_[reported.window].is_closed) {
      late_.Add(reported.window, reported.account,
                reported.requests - count.requests);
    }
    unacknowledged_.erase(count.sequence);
    count = {reported.requests, ++last_sequence_};
    unacknowledged_.emplace(count.sequence, found);
  }
}

uint32_t UsageCollector::IndexOf(const Source& source) {
  const auto [item, is_new] = source_indexes_.emplace(source, next_source_);
  if (is_new) {
    sources_.emplace(next_source_++, source);
  }
  return item->second;
}

UsageForward UsageCollector::UnacknowledgedChanges(TermNumber term) const {
  UsageForward forward;
  forward.term = term;
  std::map<uint32_t, std::vector<UsageCount>> by_source;
  size_t count = 0;
  for (const auto& [sequence, change] : unacknowledged_) {
    if (++count > kMaxForwardedCounts) {
      break;
    }
    const Key& key = change->first;
    by_source[key.source].push_back(
        {key.window, key.account, change->second.requests});
    forward.sequence = sequence;
  }
  for (auto& [index, counts] : by_source) {
    const Source& source = sources_.at(index);
    forward.usages.push_back({source.first, source.second, std::move(counts)});
  }
  return forward;
}

void UsageCollector::OnAcknowledged(uint64_t sequence) {
  unacknowledged_.erase(unacknowledged_.begin(),
                        unacknowledged_.upper_bound(sequence));
}

void UsageCollector::ForwardAll() {
  unacknowledged_.clear();
  for (auto item = counts_.begin(); item != counts_.end(); ++item) {
    unacknowledged_.emplace(item->second.sequence, item);
  }
}

std::vector<UsageWindow> UsageCollector::ClosedWindows(
    absl::Time true_now,
    const std::set<UsageWindowNumber>& agreed) {
  std::vector<UsageWindow> closed;
  for (auto& [number, window] : windows_) {
    if (true_now < settings_.CloseTimeOf(number)) {
      break;
    }
    const bool is_agreed = agreed.contains(number);
    if (is_agreed) {
      window.sum.reset();
    } else if (!window.sum.has_value()) {
      window.sum = SumOf(number);
    }
    window.is_closed = true;
    if (window.sum.has_value()) {
      closed.push_back(*window.sum);
    }
  }
  return closed;
}

UsageWindow UsageCollector::SumOf(UsageWindowNumber number) {
  std::map<ClientAccountId, uint64_t> sums;
  for (auto item = FirstOf(number);
       item != counts_.end() && item->first.window == number; ++item) {
    sums[item->first.account] += item->second.requests;
  }
  UsageWindow sum{number, {}};
  sum.accounts.reserve(sums.size());
  for (const auto& [account, requests] : sums) {
    sum.accounts.push_back({account, requests});
  }
  return sum;
}

void UsageCollector::ReopenWindows() {
  for (auto& [number, window] : windows_) {
    window.is_closed = false;
    window.sum.reset();
  }
}

void UsageCollector::RemoveOldWindows(
    absl::Time true_now,
    const std::set<UsageWindowNumber>& agreed) {
  for (auto window = windows_.begin(); window != windows_.end();) {
    window->second.is_agreed = agreed.contains(window->first);
    const bool is_removed = settings_.IsImplausible(window->first, true_now) ||
                            (window->second.is_agreed &&
                             settings_.ExpiryOf(window->first) < true_now);
    if (!is_removed) {
      ++window;
      continue;
    }
    // A window of the future comes from a clock that was ahead; the windows
    // before it are still to be counted.
    if (window->first <= settings_.WindowAt(true_now)) {
      removed_through_ = std::max(removed_through_, window->first);
    }
    window = Remove(window);
  }
  if (windows_.empty()) {
    source_indexes_.clear();
    sources_.clear();
  } else if (sources_.size() > counts_.size()) {
    // Of gateway processes that have ended.
    std::set<uint32_t> used;
    for (const auto& [key, count] : counts_) {
      used.insert(key.source);
    }
    std::erase_if(sources_,
                  [&](const auto& item) { return !used.contains(item.first); });
    std::erase_if(source_indexes_, [&](const auto& item) {
      return !used.contains(item.second);
    });
  }
}

UsageCollector::Windows::iterator UsageCollector::Remove(
    Windows::iterator window) {
  const UsageWindowNumber number = window->first;
  auto item = FirstOf(number);
  while (item != counts_.end() && item->first.window == number) {
    unacknowledged_.erase(item->second.sequence);
    item = counts_.erase(item);
  }
  return windows_.erase(window);
}

bool UsageCollector::MakeRoom() {
  while (counts_.size() >= kMaxCounts && !windows_.empty() &&
         windows_.begin()->second.is_agreed) {
    removed_through_ = std::max(removed_through_, windows_.begin()->first);
    Remove(windows_.begin());
  }
  return counts_.size() < kMaxCounts;
}

}  // namespace camphorsail
