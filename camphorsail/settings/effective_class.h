#ifndef CAMPHORSAIL_SETTINGS_EFFECTIVE_CLASS_H_
#define CAMPHORSAIL_SETTINGS_EFFECTIVE_CLASS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/units.h"

namespace camphorsail {

/// The settings in force for one class of one client account, after
/// inheritance. Immutable once published.
struct EffectiveClass {
  ClientAccountId account;
  ClassId class_id;
  Tier tier{3};
  /// The account's weight in the fair sharing of capacity within the tier.
  Weight weight{1.0};
  /// Target for the time to the first token.
  absl::Duration ttft_target = absl::Seconds(1);
  /// Target for the time to the complete answer; also the request's deadline.
  absl::Duration total_target = absl::Seconds(60);
  /// Limits of the account over the whole fleet; zero means unlimited.
  double max_requests_per_s = 0;
  double max_tokens_per_s = 0;
  int max_concurrency = 0;
  Tokens max_output_tokens{4096};
  /// Retries allowed as a fraction of first attempts, in [0, 1].
  double retry_budget_ratio = 0.1;
  /// Fraction of capacity guaranteed to this class regardless of the load from
  /// higher tiers, in [0, 1].
  double guaranteed_share = 0.01;
  /// Model used when the request names none.
  ModelId default_model;
  /// False when requests of this class must not run twice.
  bool idempotent = true;
};

/// The settings in force for one client account. Immutable once published.
struct EffectiveAccount {
  ClientAccountId account;
  /// Lower-case hexadecimal SHA-256 digests of the account's API keys.
  std::vector<std::string> api_key_sha256;
  ClassId default_class;
  std::vector<EffectiveClass> classes;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_EFFECTIVE_CLASS_H_
