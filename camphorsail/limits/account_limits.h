#ifndef CAMPHORSAIL_LIMITS_ACCOUNT_LIMITS_H_
#define CAMPHORSAIL_LIMITS_ACCOUNT_LIMITS_H_

#include <map>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/limits/limit_types.h"
#include "camphorsail/settings/effective_class.h"

namespace camphorsail {

/// @param accounts The settings in force.
/// @return The limits of the accounts that have any, for `LimitAllocator`.
/// Requests of all other accounts are admitted without a share.
std::map<ClientAccountId, LimitAmounts> CollectAccountLimits(
    const std::vector<EffectiveAccount>& accounts);

/// @param effective Effective settings of any class of an account.
/// @return True when the account has at least one limit.
inline bool HasAccountLimits(const EffectiveClass& effective) {
  return effective.max_requests_per_s > 0 || effective.max_tokens_per_s > 0 ||
         effective.max_concurrency > 0;
}

}  // namespace camphorsail

#endif  // CAMPHORSAIL_LIMITS_ACCOUNT_LIMITS_H_
