#ifndef CAMPHORSAIL_PLACEMENT_ACCOUNT_SHARES_H_
#define CAMPHORSAIL_PLACEMENT_ACCOUNT_SHARES_H_

#include <array>
#include <cstddef>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/account_division.h"
#include "camphorsail/placement/account_hash.h"
#include "camphorsail/placement/account_work_reporter.h"
#include "camphorsail/placement/service_account_work.h"

namespace camphorsail {

/// Weights of the accounts whose weight is not 1.
using AccountWeights = absl::flat_hash_map<AccountHash, double>;

/// Chooses whose requests a gateway refuses at an overloaded service: first
/// those of accounts that ask for more than their share, and of these the part
/// that lies above it (see `DivideByAccount`). Counts the work of each account,
/// repeated requests included. What other gateways have counted comes from the
/// replicas; a gateway that is cut off uses what it heard last, and then its
/// own counts.
///
/// Not thread-safe; used on the event loop's thread only.
class AccountShares {
 public:
  /// What is known about the account of a request that is refused.
  struct Standing {
    /// Work of the account at all gateways, and the work that it may have while
    /// the service is overloaded, in milliseconds per second.
    double work_ms = 0;
    double share_ms = 0;
    /// Accepted part of the account's requests of the urgency, relative to that
    /// of all accounts; less than 1 when the account is above its share.
    double served_ratio = 1;
  };

  /// Time constant of the average work. Short compared with a burst, and long
  /// enough for the work of one request to be small within it.
  static constexpr absl::Duration kTimeConstant = absl::Seconds(3);
  /// Time constant of the average of what is refused. Shorter, because it is
  /// one number for all accounts, and shares follow a burst sooner.
  static constexpr absl::Duration kRefusedTimeConstant = absl::Seconds(3);
  /// Interval at which the shares are calculated anew while requests are
  /// refused.
  static constexpr absl::Duration kDivideInterval = absl::Milliseconds(250);
  /// Interval at which the work by account is sent while requests are refused.
  static constexpr absl::Duration kReportInterval = absl::Seconds(1);
  /// Time for which the work at the other gateways is used. Long enough for a
  /// few messages to be lost.
  static constexpr absl::Duration kFleetWorkLifetime = absl::Seconds(4);

  /// Counts a new request.
  /// @param work_ms Server time that it takes, in milliseconds.
  void OnArrival(AccountHash account,
                 Urgency urgency,
                 double work_ms,
                 MonoTime now);
  /// Counts a request that is refused because its answer would come too late.
  void OnRefusedLate(Urgency urgency, double work_ms, MonoTime now);
  /// @param weights Must outlive this object or be replaced before.
  void SetWeights(const AccountWeights* weights) { weights_ = weights; }

  /// Takes the work at all gateways together.
  void OnFleetWork(const ServiceAccountWork& work, MonoTime now);
  /// Calculates the shares anew if it is time to.
  /// @param closed Part of the requests of each urgency that is refused for
  /// more urgent ones.
  void Update(const UrgencyFractions& closed, MonoTime now);
  /// @return Part of the account's requests to refuse, when the part given to
  /// `Update` is refused of all.
  double ClosedPart(AccountHash account, Urgency urgency) const;
  /// @return Of the account's requests that are not refused for more urgent
  /// ones, the part that lies above its share: they are refused first when
  /// answers would come too late.
  double AbovePart(AccountHash account, Urgency urgency) const;
  Standing StandingOf(AccountHash account, Urgency urgency, MonoTime now) const;
  /// @return True while this or another gateway refuses requests because of
  /// overload.
  bool IsOverloaded(MonoTime now) const;

  /// Tells everything anew, because another replica is told from now on.
  void ReportAll() { reporter_ = AccountWorkReporter(); }
  /// @param is_refusing True while this or another gateway refuses requests.
  /// @param max_accounts Most accounts to list.
  /// @return What the replicas are to be told now, if anything.
  std::optional<ServiceAccountWork> TakeReport(bool is_refusing,
                                               size_t max_accounts,
                                               MonoTime now);

 private:
  /// Averages of work, in milliseconds per second, at a time.
  struct Work {
    absl::Duration time_constant = kTimeConstant;
    UrgencyFractions amounts{};
    MonoTime at;
  };
  /// Parts of an account's requests that are refused, see `ClosedPart` and
  /// `AbovePart`.
  struct Parts {
    UrgencyFractions closed{};
    UrgencyFractions above{};
  };

  /// @return The averages as they are now.
  static UrgencyFractions Decayed(const Work& work, MonoTime now);
  static void Add(Urgency urgency, double work_ms, MonoTime now, Work* work);
  double WeightOf(AccountHash account) const;
  /// Removes the accounts that have sent nothing for long.
  void Forget(MonoTime now);
  bool IsFleetWorkRecent(MonoTime now) const;
  const Parts& PartsOf(AccountHash account) const;
  ServiceAccountWork OwnWork(MonoTime now) const;

  absl::flat_hash_map<AccountHash, Work> own_;
  Work refused_late_{kRefusedTimeConstant, {}, {}};
  std::optional<MonoTime> refused_late_at_;
  /// Work at all gateways, as far as the replicas have told it: the accounts,
  /// and the rest of the last message.
  absl::flat_hash_map<AccountHash, UrgencyFractions> fleet_;
  ServiceAccountWork fleet_work_;
  std::optional<MonoTime> fleet_at_;
  const AccountWeights* weights_ = nullptr;

  std::optional<MonoTime> divided_at_;
  /// The accounts with a part that is refused.
  absl::flat_hash_map<AccountHash, Parts> parts_;
  /// Those of accounts that are not in the list of the replicas, and whether
  /// there is such a list.
  Parts other_parts_;
  bool has_other_parts_ = false;
  /// See `AccountDivision`.
  std::array<double, kUrgencyLevels> share_{};
  /// Part of the requests of each urgency that is refused.
  UrgencyFractions refused_{};

  std::optional<MonoTime> reported_at_;
  AccountWorkReporter reporter_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ACCOUNT_SHARES_H_
