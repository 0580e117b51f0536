#ifndef CAMPHORSAIL_PLACEMENT_ACCOUNT_HASH_H_
#define CAMPHORSAIL_PLACEMENT_ACCOUNT_HASH_H_

#include <cstdint>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/strong_id.h"

namespace camphorsail {

/// Hash of a client account's name, equal on all VMs. Takes the place of the
/// name in messages between gateways and replicas.
using AccountHash = StrongId<struct AccountHashTag, uint64_t>;

inline AccountHash HashOf(const ClientAccountId& account) {
  return AccountHash(StableHash(account.value()));
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ACCOUNT_HASH_H_
