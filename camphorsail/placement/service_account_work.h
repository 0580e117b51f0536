#ifndef CAMPHORSAIL_PLACEMENT_SERVICE_ACCOUNT_WORK_H_
#define CAMPHORSAIL_PLACEMENT_SERVICE_ACCOUNT_WORK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/placement/account_work.h"
#include "camphorsail/placement/urgency_counts.h"
#include "msgpack.hpp"

namespace camphorsail {

/// Work of the accounts at one overloaded service, as gateways and replicas
/// tell each other. Sent only while requests are refused.
struct ServiceAccountWork {
  /// Hash of the service's name, equal on all VMs.
  uint64_t service = 0;
  /// False when `accounts` has only the entries that changed since earlier
  /// messages; an account without work is to be removed.
  bool is_complete = false;
  std::vector<AccountWork> accounts;
  /// Number and total work of the accounts that are not in the list, nor in
  /// those of earlier messages.
  uint32_t other_accounts = 0;
  UrgencyCounts other_work;
  /// Work per second that is refused because its answer would come too late.
  UrgencyCounts refused;

  MSGPACK_DEFINE(service,
                 is_complete,
                 accounts,
                 other_accounts,
                 other_work,
                 refused)
};

/// Most accounts in one message between a gateway and a replica, over all
/// services. See docs/design/account-shares.md for the bytes.
inline constexpr size_t kMaxSentAccounts = 32;
/// Most accounts in one message between two replicas, over all services.
inline constexpr size_t kMaxReplicaAccounts = 64;
/// Most accounts of one service that a receiver is told one by one; the others
/// are told as a group.
inline constexpr size_t kMaxKnownAccounts = 128;

/// @return Work of all urgencies together.
uint64_t TotalWork(const UrgencyCounts& work);

/// Moves all but the accounts with the most work to the other accounts.
/// @param count Number of accounts that stay in the list.
void KeepLargest(size_t count, ServiceAccountWork* work);

/// Takes a message into what is known of its sender.
/// @param known One entry for each service.
void UpdateAccountWork(const std::vector<ServiceAccountWork>& received,
                       std::vector<ServiceAccountWork>* known);

/// Sum of the work at several gateways.
class AccountWorkSum {
 public:
  void Add(const std::vector<ServiceAccountWork>& added);
  /// @return One complete entry for each service.
  std::vector<ServiceAccountWork> List() const;

 private:
  struct Sum {
    absl::flat_hash_map<AccountHash, UrgencyCounts> accounts;
    uint32_t other_accounts = 0;
    UrgencyCounts other_work;
    UrgencyCounts refused;
  };
  /// By service.
  std::map<uint64_t, Sum> sums_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVICE_ACCOUNT_WORK_H_
