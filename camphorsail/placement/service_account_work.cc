#include "camphorsail/placement/service_account_work.h"

#include <algorithm>
#include <utility>

namespace camphorsail {
namespace {

ServiceAccountWork& EntryOf(uint64_t service,
                            std::vector<ServiceAccountWork>* list) {
  for (ServiceAccountWork& entry : *list) {
    if (entry.service == service) {
      return entry;
    }
  }
  list->emplace_back().service = service;
  return list->back();
}

}  // namespace

uint64_t TotalWork(const UrgencyCounts& work) {
  uint64_t sum = 0;
  for (int level = 0; level < kUrgencyLevels; ++level) {
    sum += work.at(Urgency(level));
  }
  return sum;
}

void KeepLargest(size_t count, ServiceAccountWork* work) {
  std::vector<AccountWork>& accounts = work->accounts;
  std::sort(accounts.begin(), accounts.end(),
            [](const AccountWork& a, const AccountWork& b) {
              const uint64_t work_a = TotalWork(a.work);
              const uint64_t work_b = TotalWork(b.work);
              return work_a != work_b ? work_a > work_b : a.account < b.account;
            });
  while (accounts.size() > count) {
    ++work->other_accounts;
    work->other_work += accounts.back().work;
    accounts.pop_back();
  }
}

void UpdateAccountWork(const std::vector<ServiceAccountWork>& received,
                       std::vector<ServiceAccountWork>* known) {
  for (const ServiceAccountWork& update : received) {
    ServiceAccountWork& entry = EntryOf(update.service, known);
    std::vector<AccountWork> accounts = std::move(entry.accounts);
    entry = update;
    if (update.is_complete) {
      continue;
    }
    for (const AccountWork& changed : update.accounts) {
      std::erase_if(accounts, [&](const AccountWork& old) {
        return old.account == changed.account;
      });
    }
    entry.accounts.insert(entry.accounts.end(), accounts.begin(),
                          accounts.end());
    std::erase_if(entry.accounts, [](const AccountWork& account) {
      return TotalWork(account.work) == 0;
    });
  }
}

void AccountWorkSum::Add(const std::vector<ServiceAccountWork>& added) {
  for (const ServiceAccountWork& work : added) {
    Sum& sum = sums_[work.service];
    for (const AccountWork& entry : work.accounts) {
      sum.accounts[entry.account] += entry.work;
    }
    // The same small accounts are in the rest of several gateways.
    sum.other_accounts = std::max(sum.other_accounts, work.other_accounts);
    sum.other_work += work.other_work;
    sum.refused += work.refused;
  }
}

std::vector<ServiceAccountWork> AccountWorkSum::List() const {
  std::vector<ServiceAccountWork> list;
  for (const auto& [service, sum] : sums_) {
    ServiceAccountWork work;
    work.service = service;
    work.is_complete = true;
    for (const auto& [account, amount] : sum.accounts) {
      work.accounts.push_back({account, amount});
    }
    work.other_accounts = sum.other_accounts;
    work.other_work = sum.other_work;
    work.refused = sum.refused;
    list.push_back(std::move(work));
  }
  return list;
}

}  // namespace camphorsail
