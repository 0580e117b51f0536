#include "camphorsail/scheduling/length_estimator.h"

#include <algorithm>

namespace camphorsail {
namespace {

// Four buckets per doubling; the limits are whole numbers so that no
// floating-point rounding decides the bucket.
constexpr std::array<int64_t, LengthDistribution::kBucketCount> MakeLimits() {
  std::array<int64_t, LengthDistribution::kBucketCount> limits{};
  constexpr std::array<int64_t, 4> kSteps = {1000, 1189, 1414, 1682};
  for (int i = 0; i < LengthDistribution::kBucketCount; ++i) {
    limits[i] = ((int64_t{1} << (i / 4)) * kSteps[i % 4] + 999) / 1000;
  }
  return limits;
}
constexpr auto kLimits = MakeLimits();

// All counts are halved when the total reaches this number, so that the
// distribution reflects the last few thousand answers.
constexpr uint32_t kMaxTotalCount = 8192;

int BucketOf(Tokens length) {
  const auto it =
      std::lower_bound(kLimits.begin(), kLimits.end(), length.value());
  return static_cast<int>(
      std::min<std::ptrdiff_t>(it - kLimits.begin(), kLimits.size() - 1));
}

constexpr int kPromptBuckets = 8;

int PromptBucket(Tokens prompt) {
  int bucket = 0;
  for (int64_t limit = 64;
       prompt.value() > limit && bucket < kPromptBuckets - 1; limit *= 4) {
    ++bucket;
  }
  return bucket;
}

}  // namespace

void LengthDistribution::Add(Tokens length) {
  ++buckets_[BucketOf(length)];
  if (++count_ >= kMaxTotalCount) {
    count_ = 0;
    for (uint32_t& bucket : buckets_) {
      bucket /= 2;
      count_ += bucket;
    }
  }
}

Tokens LengthDistribution::Quantile(double quantile, Tokens received) const {
  const int first = received.value() > 0 ? BucketOf(received) + 1 : 0;
  uint64_t observations = 0;
  for (int i = first; i < kBucketCount; ++i) {
    observations += buckets_[i];
  }
  if (observations == 0) {
    return Tokens(0);
  }
  const double wanted = quantile * static_cast<double>(observations);
  uint64_t seen = 0;
  for (int i = first; i < kBucketCount; ++i) {
    seen += buckets_[i];
    if (static_cast<double>(seen) >= wanted) {
      return Tokens(kLimits[i]);
    }
  }
  return Tokens(kLimits[kBucketCount - 1]);
}

Tokens LengthDistribution::Mean(Tokens received) const {
  const int first = received.value() > 0 ? BucketOf(received) + 1 : 0;
  int64_t observations = 0;
  int64_t sum = 0;
  for (int i = first; i < kBucketCount; ++i) {
    const int64_t lower = i == 0 ? 0 : kLimits[i - 1];
    observations += buckets_[i];
    sum += buckets_[i] * ((lower + kLimits[i] + 1) / 2);
  }
  return Tokens(observations == 0 ? 0 : sum / observations);
}

void LengthEstimator::Add(int account_class,
                          int class_index,
                          Tokens prompt,
                          Tokens length) {
  const int64_t key =
      int64_t{account_class} * kPromptBuckets + PromptBucket(prompt);
  by_account_class_[key].Add(length);
  by_class_[class_index].Add(length);
}

const LengthDistribution* LengthEstimator::Find(int account_class,
                                                int class_index,
                                                Tokens prompt) const {
  if (plan_ == LengthPlan::kMaximum) {
    return nullptr;
  }
  const int64_t key =
      int64_t{account_class} * kPromptBuckets + PromptBucket(prompt);
  if (const auto it = by_account_class_.find(key);
      it != by_account_class_.end() && it->second.count() >= kMinimumCount) {
    return &it->second;
  }
  if (const auto it = by_class_.find(class_index);
      it != by_class_.end() && it->second.count() >= kMinimumCount) {
    return &it->second;
  }
  return nullptr;
}

Tokens LengthEstimator::InitialLength(Tokens maximum) const {
  return plan_ == LengthPlan::kMaximum ? maximum : Tokens(maximum.value() / 2);
}

Tokens LengthEstimator::Planned(int account_class,
                                int class_index,
                                Tokens prompt,
                                Tokens received,
                                Tokens maximum) const {
  const LengthDistribution* distribution =
      Find(account_class, class_index, prompt);
  Tokens planned(0);
  if (distribution != nullptr) {
    planned = plan_ == LengthPlan::kMean
                  ? distribution->Mean(received)
                  : distribution->Quantile(quantile_, received);
  }
  if (planned.value() == 0) {
    planned = InitialLength(maximum);
  }
  return std::max(received + Tokens(1), std::min(planned, maximum));
}

Tokens LengthEstimator::Expected(int account_class,
                                 int class_index,
                                 Tokens prompt,
                                 Tokens received,
                                 Tokens maximum) const {
  const LengthDistribution* distribution =
      Find(account_class, class_index, prompt);
  Tokens expected =
      distribution == nullptr ? Tokens(0) : distribution->Mean(received);
  if (expected.value() == 0) {
    expected = InitialLength(maximum);
  }
  return std::max(received + Tokens(1), std::min(expected, maximum));
}

}  // namespace camphorsail
