#include "camphorsail/placement/account_division.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace camphorsail {
namespace {

/// Halvings of the interval in which the level lies. Enough for an error far
/// below the work of one request.
constexpr int kBisections = 48;

/// Work of one urgency that is to be refused, and from whom it may be taken.
class Cut {
 public:
  Cut(const std::vector<AccountDemand>& demands,
      const std::vector<double>& left,
      size_t urgency,
      double refused_part)
      : demands_(demands),
        left_(left),
        urgency_(urgency),
        largest_part_(1 - kLeastServedRatio * (1 - refused_part)) {}

  /// @return Work that the account loses at a level.
  double Of(size_t i, double level) const {
    const AccountDemand& demand = demands_[i];
    return std::clamp(left_[i] - demand.weight * level, 0.0,
                      demand.work[urgency_] * largest_part_);
  }
  double Sum(double level) const {
    double sum = 0;
    for (size_t i = 0; i < demands_.size(); ++i) {
      sum += demands_[i].accounts * Of(i, level);
    }
    return sum;
  }

 private:
  const std::vector<AccountDemand>& demands_;
  /// Work of each account that is not refused yet.
  const std::vector<double>& left_;
  const size_t urgency_;
  /// Largest part of an account's work that is refused.
  const double largest_part_;
};

}  // namespace

AccountDivision DivideByAccount(const std::vector<AccountDemand>& demands,
                                const UrgencyFractions& refused) {
  AccountDivision division;
  division.refused.resize(demands.size());
  division.share.fill(std::numeric_limits<double>::infinity());
  std::vector<double> left;
  double highest = 0;
  for (const AccountDemand& demand : demands) {
    left.push_back(
        std::accumulate(demand.work.begin(), demand.work.end(), 0.0));
    highest = std::max(highest, left.back() / demand.weight);
  }
  for (size_t urgency = kUrgencyLevels; urgency-- > 0;) {
    double work = 0;
    for (const AccountDemand& demand : demands) {
      work += demand.accounts * demand.work[urgency];
    }
    if (refused[urgency] <= 0 || work <= 0) {
      continue;
    }
    const Cut cut(demands, left, urgency, refused[urgency]);
    // The work refused falls with the level.
    double low = 0;
    double high = highest;
    for (int i = 0; i < kBisections; ++i) {
      const double middle = (low + high) / 2;
      (cut.Sum(middle) > refused[urgency] * work ? low : high) = middle;
    }
    division.share[urgency] = high;
    for (size_t i = 0; i < demands.size(); ++i) {
      if (const double own = demands[i].work[urgency]; own > 0) {
        const double taken = cut.Of(i, high);
        left[i] -= taken;
        division.refused[i][urgency] = taken / own;
      }
    }
  }
  return division;
}

}  // namespace camphorsail
