#ifndef CAMPHORSAIL_SCHEDULING_LENGTH_ESTIMATOR_H_
#define CAMPHORSAIL_SCHEDULING_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/units.h"
#include "camphorsail/scheduling/scheduler_settings.h"

namespace camphorsail {

/// Histogram of answer lengths with logarithmic buckets. Old answers lose
/// weight, so that a change in the lengths shows after some thousand answers.
class LengthDistribution {
 public:
  /// Each bucket limit is 2^(1/4) times the one before, so a quantile is at
  /// most 19% too long.
  static constexpr int kBucketCount = 64;

  void Add(Tokens length);
  uint32_t count() const { return count_; }
  /// @param quantile In (0, 1).
  /// @param received Tokens already received; shorter answers are left out.
  /// @return Upper limit of the bucket that holds the quantile of the total
  /// length; zero when no observed answer was longer than `received`.
  Tokens Quantile(double quantile, Tokens received) const;
  /// @return Mean total length given that it exceeds `received`; zero when no
  /// observed answer was longer.
  Tokens Mean(Tokens received) const;

 private:
  std::array<uint32_t, kBucketCount> buckets_{};
  uint32_t count_ = 0;
};

/// Estimates answer lengths from the observed lengths per account, class and
/// bucket of prompt lengths. While these are few, the lengths of the whole
/// class are used; while those are few too, half of the request's upper bound.
/// For service calls, a length is a duration, and one token stands for one
/// millisecond. Owned by one `Scheduler` and guarded by the lock of its shard.
class LengthEstimator {
 public:
  /// Number of observations that a distribution needs before it is used.
  static constexpr uint32_t kMinimumCount = 30;

  /// @param plan How the planned length is derived from a distribution.
  /// @param quantile Quantile for `LengthPlan::kQuantile`.
  LengthEstimator(LengthPlan plan, double quantile)
      : plan_(plan), quantile_(quantile) {}

  /// Records the length of a completed answer.
  /// @param account_class Dense index of the (account, class) pair.
  /// @param class_index Dense index of the class.
  /// @param prompt Prompt length.
  /// @param length Complete length of the answer.
  void Add(int account_class, int class_index, Tokens prompt, Tokens length);
  /// @param received Tokens already received.
  /// @param maximum The request's upper bound.
  /// @return Planned total length, above `received` and at most `maximum`.
  Tokens Planned(int account_class,
                 int class_index,
                 Tokens prompt,
                 Tokens received,
                 Tokens maximum) const;
  /// @return Expected total length, above `received`; used to estimate the work
  /// of a request.
  Tokens Expected(int account_class,
                  int class_index,
                  Tokens prompt,
                  Tokens received,
                  Tokens maximum) const;

 private:
  /// @return Length to assume while there are too few observations: half of the
  /// upper bound. With the whole bound, a class whose longest answers take
  /// longer than its target would never be accepted, so that its lengths would
  /// never be observed. `LengthPlan::kMaximum` uses the whole bound.
  Tokens InitialLength(Tokens maximum) const;
  /// @return The observed lengths to plan with; null when there are too few, or
  /// when the plan uses none.
  const LengthDistribution* Find(int account_class,
                                 int class_index,
                                 Tokens prompt) const;

  LengthPlan plan_;
  double quantile_;
  /// Key: account-class index times the number of prompt buckets, plus the
  /// prompt bucket.
  absl::flat_hash_map<int64_t, LengthDistribution> by_account_class_;
  absl::flat_hash_map<int, LengthDistribution> by_class_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_LENGTH_ESTIMATOR_H_
