#ifndef CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_H_
#define CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_H_

#include "camphorsail/base/msgpack_strong_id.h"
#include "camphorsail/placement/account_hash.h"
#include "camphorsail/placement/urgency_counts.h"
#include "msgpack.hpp"

namespace camphorsail {

/// Work that an account asks of a service.
struct AccountWork {
  AccountHash account;
  /// Milliseconds of engine time per second, by urgency.
  UrgencyCounts work;

  MSGPACK_DEFINE(account, work)
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ACCOUNT_WORK_H_
