#include "camphorsail/usage/usage_meter.h"

namespace camphorsail {

void UsageMeter::OnRequestBegun(const ClientAccountId& account,
                                absl::Time true_now) {
  Counts& counts = windows_[settings_.WindowAt(true_now)];
  if (counts.size() >= kMaxAccounts && !counts.contains(account)) {
    ++dropped_;
    return;
  }
  ++counts[account].requests;
  if (windows_.size() > kMaxWindows) {
    windows_.erase(windows_.begin());
  }
}

std::vector<UsageCount> UsageMeter::TakeReport(uint64_t token) {
  std::vector<UsageCount> report;
  for (auto& [window, counts] : windows_) {
    for (auto& [account, count] : counts) {
      if (count.requests > count.reported) {
        count.sent = count.requests;
        count.sent_token = token;
        report.push_back({window, account, count.requests});
      }
    }
  }
  return report;
}

void UsageMeter::OnAnswered(uint64_t token) {
  for (auto& [window, counts] : windows_) {
    for (auto& [account, count] : counts) {
      // A count that a later poll has carried waits for the answer to that one.
      if (count.sent_token != 0 && count.sent_token <= token) {
        count.reported = count.sent;
        count.sent_token = 0;
      }
    }
  }
}

void UsageMeter::ReportAll() {
  for (auto& [window, counts] : windows_) {
    for (auto& [account, count] : counts) {
      count.reported = 0;
      count.sent_token = 0;
    }
  }
}

}  // namespace camphorsail
