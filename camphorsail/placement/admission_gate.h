#ifndef CAMPHORSAIL_PLACEMENT_ADMISSION_GATE_H_
#define CAMPHORSAIL_PLACEMENT_ADMISSION_GATE_H_

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/account_shares.h"
#include "camphorsail/placement/service_admission_state.h"
#include "camphorsail/placement/urgency_set.h"

namespace camphorsail {

/// Decides which requests to one overloaded service a gateway refuses, so that
/// no urgent request is refused while larger, less urgent ones are served.
///
/// When requests of some urgency are expected to be answered too late, all
/// gateways refuse a rising share of the less urgent ones that take at least as
/// much work, beginning with the least urgent. The late requests are accepted
/// meanwhile: they are served before everything less urgent that waits at the
/// servers. They may be refused only after no such request was sent to a server
/// for `kOrderPeriod`. Gateways tell each other through the replicas which
/// urgencies are late and which were started; a gateway that is cut off decides
/// on its own.
///
/// Within one urgency, the accounts that ask for more than their share are
/// refused first (see `AccountShares`). The share of all requests that is
/// refused stays the same. A request that lies above its account's share waits
/// at the servers for a part of the latency objective only, so that there is
/// room for those of the other accounts.
///
/// Not thread-safe; used on the event loop's thread only.
class AdmissionGate {
 public:
  enum class Verdict {
    kAdmit,
    /// Refuse: more urgent requests are late.
    kClosed,
    /// Refuse: the answer is expected too late, and no less urgent request has
    /// been served recently.
    kTooLate,
    /// Refuse: the account asks for more than its share, and the wait at the
    /// servers is kept short for the other accounts. Nothing less urgent has
    /// been served recently.
    kAboveShare,
  };

  /// A request of a client account.
  struct AccountRequest {
    AccountHash account;
    /// Server time that the request takes, in milliseconds.
    double work_ms = 0;
  };

  /// Time for which no larger, less urgent request may have been started before
  /// a request is refused. Callers compare what is served and what is refused
  /// over some seconds.
  static constexpr absl::Duration kOrderPeriod = absl::Seconds(5);
  /// Interval at which the refused shares change.
  static constexpr absl::Duration kStepInterval = absl::Milliseconds(500);
  /// Change of a refused share in one interval while more urgent requests are
  /// late. Refusing the whole takes about as long as the streams need to leave
  /// their slots, after which the effect shows.
  static constexpr double kCloseStep = 0.2;
  /// Change of the refused shares in one interval while none are late. Slower,
  /// so that callers who come back do not make the urgent requests late again.
  static constexpr double kOpenStep = 0.1;
  /// Part of the longest wait that is open to requests above their account's
  /// share.
  static constexpr double kAboveShareWait = 0.5;

  /// Takes a new request into account.
  /// @param work_ms Server time that the request takes, in milliseconds.
  void OnArrival(Urgency urgency, double work_ms, MonoTime now);
  /// Decides on a request.
  /// @param expected Expected time to the start of the answer on the best
  /// server.
  /// @param limit Longest time that meets the latency objective; infinite while
  /// the best server has room, in which case the request is admitted.
  Verdict Judge(Urgency urgency,
                absl::Duration expected,
                absl::Duration limit,
                MonoTime now);
  /// Decides on a request of an account, whose arrival `accounts` has counted.
  /// @param expected, limit See above.
  Verdict Judge(Urgency urgency,
                const AccountRequest& request,
                absl::Duration expected,
                absl::Duration limit,
                MonoTime now);
  /// Records that a request is sent to a server.
  void OnStarted(Urgency urgency, MonoTime now) {
    levels_[urgency.value()].started_at = now;
  }
  /// Records the start of an answer from a server that had no free slot when
  /// the request was sent.
  /// @param expected Time that was expected then.
  /// @param actual Time that it took.
  void OnQueuedAnswer(Urgency urgency,
                      absl::Duration expected,
                      absl::Duration actual);
  /// Takes the state of all gateways together.
  void OnFleetState(const ServiceAdmissionState& state, MonoTime now) {
    fleet_ = state;
    fleet_at_ = now;
  }

  /// @return The state of this gateway; its `service` is not set.
  ServiceAdmissionState OwnState(MonoTime now) const;
  /// @return Urgencies of requests that any gateway has started recently.
  UrgencySet Started(MonoTime now) const;
  /// @return The urgencies whose refused shares have changed since the last
  /// call.
  UrgencySet TakeChanges() { return std::exchange(changed_, UrgencySet()); }
  AccountShares& accounts() { return accounts_; }
  const AccountShares& accounts() const { return accounts_; }
  /// @return True while this or another gateway refuses requests.
  bool IsRefusing(MonoTime now) const;
  /// @return Time after which the request would be admitted if no other came.
  absl::Duration TimeUntilRoom(Urgency urgency,
                               absl::Duration expected,
                               absl::Duration limit) const {
    return std::max(absl::ZeroDuration(),
                    expected * levels_[urgency.value()].wait_ratio - limit);
  }
  /// @return Share of the requests of an urgency that is refused because more
  /// urgent ones are late, from 0 to 1.
  double RefusedShare(Urgency urgency) const {
    return levels_[urgency.value()].refused_share;
  }

 private:
  /// The requests of one urgency.
  struct Level {
    std::optional<MonoTime> arrived_at;
    std::optional<MonoTime> started_at;
    /// When a request was last expected to be answered too late.
    std::optional<MonoTime> late_at;
    /// Moving average of the work of a request, in milliseconds.
    double work_ms = 0;
    /// Moving average of the ratio of actual to expected time for requests that
    /// had to wait for a slot.
    double wait_ratio = 1;
    /// See `RefusedShare`.
    double refused_share = 0;
    /// Spreads the refusals evenly: each request adds the share that is
    /// accepted, and one that is accepted takes 1.
    double credit = 0;
    /// Likewise for the requests within the shares of their accounts.
    double share_credit = 0;
  };

  /// Time for which a late request counts.
  static constexpr absl::Duration kLatePeriod = absl::Seconds(1);
  /// Time for which the state of all gateways is used. Long enough for a few
  /// polls to be lost.
  static constexpr absl::Duration kFleetStateLifetime =
      absl::Milliseconds(1500);

  /// @return The urgencies for which `time` is less than `period` ago.
  UrgencySet Recent(std::optional<MonoTime> Level::*time,
                    absl::Duration period,
                    MonoTime now) const;
  UrgencySet Late(MonoTime now) const;
  /// @return The less urgent members of `set` whose requests take at least as
  /// much work, so that refusing one makes room for a request of `urgency`.
  UrgencySet LargerAndLessUrgent(const UrgencySet& set, Urgency urgency) const;
  /// Changes the refused shares if it is time to.
  void Update(MonoTime now);
  void ChangeShare(Urgency urgency, double change);
  /// Spreads decisions evenly.
  /// @param part Part of the requests like this one for which to return false.
  static bool TakeCredit(double part, double* credit);
  /// @return True when requests of `urgency` may be refused as late: no less
  /// urgent one that takes at least as much work was started recently.
  bool IsLast(Urgency urgency, MonoTime now) const {
    return LargerAndLessUrgent(Started(now), urgency).IsEmpty();
  }

  std::array<Level, kUrgencyLevels> levels_;
  AccountShares accounts_;
  ServiceAdmissionState fleet_;
  std::optional<MonoTime> fleet_at_;
  std::optional<MonoTime> updated_at_;
  UrgencySet changed_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_ADMISSION_GATE_H_
