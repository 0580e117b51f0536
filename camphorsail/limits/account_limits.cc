#include "camphorsail/limits/account_limits.h"

namespace camphorsail {

std::map<ClientAccountId, LimitAmounts> CollectAccountLimits(
    const std::vector<EffectiveAccount>& accounts) {
  std::map<ClientAccountId, LimitAmounts> limits;
  for (const EffectiveAccount& account : accounts) {
    if (account.classes.empty()) {
      continue;
    }
    // The limits can be set only for an account, not for a class, so all
    // classes of the account have the same values.
    const EffectiveClass& values = account.classes.front();
    LimitAmounts amounts{LimitAmounts::kUnlimitedRate,
                         LimitAmounts::kUnlimitedRate,
                         LimitAmounts::kUnlimitedCount};
    if (values.max_requests_per_s > 0) {
      amounts.requests_per_s = values.max_requests_per_s;
    }
    if (values.max_tokens_per_s > 0) {
      amounts.tokens_per_s = values.max_tokens_per_s;
    }
    if (values.max_concurrency > 0) {
      amounts.concurrency = values.max_concurrency;
    }
    if (HasAccountLimits(values)) {
      limits.emplace(account.account, amounts);
    }
  }
  return limits;
}

}  // namespace camphorsail
