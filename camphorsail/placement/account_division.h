#ifndef CAMPHORSAIL_PLACEMENT_ACCOUNT_DIVISION_H_
#define CAMPHORSAIL_PLACEMENT_ACCOUNT_DIVISION_H_

#include <array>
#include <vector>

#include "camphorsail/base/urgency.h"

namespace camphorsail {

/// A fraction from 0 to 1 for each urgency.
using UrgencyFractions = std::array<double, kUrgencyLevels>;

/// What an account, or a group of accounts with equal work, asks of a service.
struct AccountDemand {
  /// Share of the room, relative to the other accounts.
  double weight = 1;
  /// Number of accounts that the entry stands for.
  double accounts = 1;
  /// Work of each of these accounts by urgency, in milliseconds per second.
  std::array<double, kUrgencyLevels> work{};
};

/// How an overloaded service is divided between its accounts.
struct AccountDivision {
  /// Fraction of the work of each urgency that is refused, by demand.
  std::vector<UrgencyFractions> refused;
  /// For each urgency, the work of all urgencies that an account of weight 1
  /// may have before its requests are refused, in milliseconds per second. What
  /// an account does not use is divided between the others. Infinite when
  /// nothing is refused.
  std::array<double, kUrgencyLevels> share{};
};

/// Smallest fraction of an account's requests that is accepted, relative to all
/// requests of the same urgency. An account that is far above its share is not
/// shut out.
inline constexpr double kLeastServedRatio = 0.25;

/// Chooses whose requests are refused when a part of each urgency has to be.
///
/// For each urgency, the least urgent first, the accounts with the most work in
/// relation to their weight are cut down to a common level (water filling,
/// which gives max-min fair shares), as far as their work of this urgency
/// allows. The level is the highest at which the wanted part is refused. An
/// account below the level loses nothing, so that accounts are only refused
/// requests within their share when all accounts are cut down to theirs.
///
/// @param refused Part of the work of each urgency that is to be refused.
/// @return For each demand, the fraction of the work of each urgency to refuse.
/// Summed over the accounts, it is the wanted part.
AccountDivision DivideByAccount(const std::vector<AccountDemand>& demands,
                                const UrgencyFractions& refused);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ACCOUNT_DIVISION_H_
