#include "camphorsail/placement/account_work_reporter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace camphorsail {
namespace {

/// Relative change from which the work of an account is told again.
constexpr double kToldChange = 1.0 / 8;

}  // namespace

ServiceAccountWork AccountWorkReporter::Next(ServiceAccountWork work,
                                             size_t max_accounts,
                                             MonoTime now) {
  KeepLargest(kMaxKnownAccounts, &work);
  // Accounts that are not among these any more are told as having no work.
  absl::flat_hash_map<AccountHash, Told> gone = told_;
  for (const AccountWork& entry : work.accounts) {
    gone.erase(entry.account);
  }
  std::vector<AccountWork> entries = work.accounts;
  for (const auto& [account, told] : gone) {
    entries.push_back({account, {}});
  }
  struct Change {
    double size = 0;
    AccountWork entry;
  };
  std::vector<Change> changes;
  for (const AccountWork& entry : entries) {
    const auto found = told_.find(entry.account);
    const double before =
        found == told_.end()
            ? 0
            : static_cast<double>(TotalWork(found->second.work));
    const double least = kToldChange * before;
    const double size =
        std::abs(static_cast<double>(TotalWork(entry.work)) - before);
    const bool is_old =
        found != told_.end() && now - found->second.at >= kRefreshInterval;
    if (size > least || is_old) {
      changes.push_back({std::max(size, least), entry});
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const Change& a, const Change& b) {
              return a.size != b.size ? a.size > b.size
                                      : a.entry.account < b.entry.account;
            });
  if (changes.size() > max_accounts) {
    changes.resize(max_accounts);
  }

  ServiceAccountWork message;
  message.service = work.service;
  message.is_complete = !std::exchange(has_told_, true);
  message.refused = work.refused;
  message.other_accounts = work.other_accounts;
  message.other_work = work.other_work;
  for (const Change& change : changes) {
    message.accounts.push_back(change.entry);
    if (TotalWork(change.entry.work) == 0) {
      told_.erase(change.entry.account);
    } else {
      told_[change.entry.account] = {change.entry.work, now};
    }
  }
  for (const AccountWork& entry : work.accounts) {
    if (!told_.contains(entry.account)) {
      ++message.other_accounts;
      message.other_work += entry.work;
    }
  }
  return message;
}

}  // namespace camphorsail
