#include "camphorsail/placement/service_account_work.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"

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

/// Calls a function with each entry of `added` and with the entry of `known`
/// for the same account, which it creates if there is none.
template <typename Function>
void ForEachPair(const std::vector<AccountWork>& added,
                 std::vector<AccountWork>* known,
                 const Function& function) {
  absl::flat_hash_map<AccountHash, size_t> places;
  for (size_t i = 0; i < known->size(); ++i) {
    places.emplace((*known)[i].account, i);
  }
  for (const AccountWork& entry : added) {
    const auto [place, is_new] =
        places.try_emplace(entry.account, known->size());
    if (is_new) {
      known->push_back({entry.account, {}});
    }
    function(entry, &(*known)[place->second]);
  }
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
    if (!update.is_complete) {
      entry.accounts = std::move(accounts);
      ForEachPair(update.accounts, &entry.accounts,
                  [](const AccountWork& added, AccountWork* old) {
                    old->work = added.work;
                  });
    }
  }
}

void AddAccountWork(const std::vector<ServiceAccountWork>& added,
                    std::vector<ServiceAccountWork>* sum) {
  for (const ServiceAccountWork& other : added) {
    ServiceAccountWork& entry = EntryOf(other.service, sum);
    entry.is_complete = true;
    ForEachPair(other.accounts, &entry.accounts,
                [](const AccountWork& work, AccountWork* known) {
                  known->work += work.work;
                });
    // The same small accounts are in the rest of several gateways.
    entry.other_accounts = std::max(entry.other_accounts, other.other_accounts);
    entry.other_work += other.other_work;
    entry.refused += other.refused;
  }
}

}  // namespace camphorsail
