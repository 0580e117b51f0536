#include "camphorsail/usage/usage_meter.h"

#include <algorithm>

namespace camphorsail {
namespace {

template <typename Counts>
bool AreReported(const Counts& counts) {
  return std::all_of(counts.begin(), counts.end(), [](const auto& item) {
    return item.second.reported == item.second.requests;
  });
}

}  // namespace

void UsageMeter::OnRequestBegun(const ClientAccountId& account,
                                absl::Time true_now) {
  const UsageWindowNumber number = settings_.WindowAt(true_now);
  if (!windows_.contains(number)) {
    RemoveOldWindows(true_now);
  }
  Counts& counts = windows_[number];
  if (!counts.contains(account)) {
    if (count_ >= kMaxCounts) {
      dropped_.Add(number, account, 1);
      return;
    }
    ++count_;
  }
  ++counts[account].requests;
}

void UsageMeter::RemoveOldWindows(absl::Time true_now) {
  const int64_t oldest =
      settings_.WindowAt(true_now).value() - UsageSettings::kMaxOldWindows;
  std::erase_if(windows_, [&](const auto& item) {
    const auto& [number, counts] = item;
    if (settings_.ExpiryOf(number) >= true_now ||
        (!AreReported(counts) && number.value() >= oldest)) {
      return false;
    }
    for (const auto& [account, count] : counts) {
      if (count.requests > count.reported) {
        dropped_.Add(number, account, count.requests - count.reported);
      }
    }
    count_ -= counts.size();
    return true;
  });
}

std::vector<UsageCount> UsageMeter::TakeReport(uint64_t token) {
  std::vector<UsageCount> report;
  for (auto& [window, counts] : windows_) {
    for (auto& [account, count] : counts) {
      if (count.requests == count.reported) {
        continue;
      }
      if (report.size() >= kMaxReportedCounts) {
        // The answer to this poll does not acknowledge the count.
        count.sent_token = 0;
        continue;
      }
      if (count.sent_token == 0 || count.sent != count.requests) {
        count.sent = count.requests;
        count.sent_token = token;
      }
      report.push_back({window, account, count.requests});
    }
  }
  return report;
}

void UsageMeter::OnAnswered(uint64_t token) {
  for (auto& [window, counts] : windows_) {
    for (auto& [account, count] : counts) {
      // All polls since `sent_token` have carried `sent` or more.
      if (count.sent_token != 0 && count.sent_token <= token) {
        count.reported = count.sent;
        count.sent_token = 0;
      }
    }
  }
}

void UsageMeter::ReportAll(absl::Time true_now) {
  for (auto& [window, counts] : windows_) {
    const bool is_due = settings_.ExpiryOf(window) < true_now;
    for (auto& [account, count] : counts) {
      count.reported = is_due ? count.reported : 0;
      count.sent_token = 0;
    }
  }
}

bool UsageMeter::IsReported() const {
  return std::all_of(windows_.begin(), windows_.end(),
                     [](const auto& item) { return AreReported(item.second); });
}

}  // namespace camphorsail
