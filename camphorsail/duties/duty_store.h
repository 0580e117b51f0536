#ifndef CAMPHORSAIL_DUTIES_DUTY_STORE_H_
#define CAMPHORSAIL_DUTIES_DUTY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/duties/duty_commands.h"

namespace camphorsail {

/// The daemon process that makes the calls to the provider.
struct DutyHolder {
  /// The claim by which it became the holder; `vm` is empty before the first.
  DutyClaim claim;
  /// Fencing token of its calls.
  DutyToken token;

  friend bool operator==(const DutyHolder&, const DutyHolder&) = default;
  MSGPACK_DEFINE(claim, token)
};

/// The last order of a subject that the provider accepted.
struct AcceptedOrder {
  int count = 0;
  /// Token and id of the call.
  DutyToken token;
  uint64_t call_id = 0;

  friend bool operator==(const AcceptedOrder&, const AcceptedOrder&) = default;
  MSGPACK_DEFINE(count, token, call_id)
};

/// The replicated state of the duties: who holds them, which usage reports are
/// agreed, which orders the provider has accepted. Deterministic: replicas that
/// apply the same commands have the same state. Owned by `ControlState`; not
/// thread-safe.
class DutyStore {
 public:
  /// Number of latest windows whose reports are kept until they are settled. At
  /// windows of a few seconds the provider may be out of reach for minutes.
  static constexpr size_t kMaxOpenWindows = 128;
  /// Number of latest settled windows that are remembered, so that a late
  /// agreement does not open one of them again.
  static constexpr size_t kMaxSettledWindows = 256;
  /// More than the services of a deployment times its failure domains times the
  /// kinds of servers.
  static constexpr size_t kMaxOrderSubjects = 4096;
  static constexpr size_t kMaxHolds = 1024;

  /// Makes the claimant the holder and raises the token.
  /// @return `kNotLeader` when a later term has claimed the duties.
  Expected<void> Apply(const DutyClaim& claim);
  /// Fixes the content of a report. Changes nothing when the window is agreed.
  /// @return `kInvalidRequest` for a window that is older than all kept ones.
  Expected<void> Apply(const UsageAgreement& agreement);
  /// Closes the window, so that its report is not sent again.
  Expected<void> Apply(const UsageSettlement& settlement);
  /// @return `kOverloaded` when there are too many subjects.
  Expected<void> Apply(const OrderSettlement& settlement);
  /// @return `kOverloaded` when too many services are on hold.
  Expected<void> Apply(const OrderHold& hold);

  const DutyHolder& holder() const { return holder_; }
  /// @return True when no content can be agreed any more for the window: it is
  /// agreed, or it is older than all that are kept.
  bool IsAgreed(UsageWindowNumber number) const {
    return number < first_kept_ || open_windows_.contains(number) ||
           settled_windows_.contains(number);
  }
  /// Agreed reports that the provider has not accepted.
  const std::map<UsageWindowNumber, UsageWindow>& open_windows() const {
    return open_windows_;
  }
  const std::set<UsageWindowNumber>& settled_windows() const {
    return settled_windows_;
  }
  /// @return Number of agreed reports that were given up, because the provider
  /// accepted none for `kMaxOpenWindows` windows.
  uint64_t abandoned_windows() const { return abandoned_windows_; }
  const std::map<ServerOrderSubject, AcceptedOrder>& orders() const {
    return orders_;
  }
  /// Services whose servers are not ordered, with the operators who said so.
  const std::map<ModelId, std::string>& holds() const { return holds_; }

  /// @return The encoding of the whole object.
  std::string Snapshot() const;
  /// @return `kDataCorrupt` when `bytes` is not an encoding by `Snapshot`.
  static Expected<DutyStore> Restore(std::string_view bytes);

 private:
  /// Lets no content be agreed for the window and the earlier ones, apart from
  /// those that are agreed.
  void KeepAfter(UsageWindowNumber number);

  DutyHolder holder_;
  std::map<UsageWindowNumber, UsageWindow> open_windows_;
  std::set<UsageWindowNumber> settled_windows_;
  /// Windows before this one have left `open_windows_` or `settled_windows_`;
  /// another content must not be agreed for them.
  UsageWindowNumber first_kept_;
  uint64_t abandoned_windows_ = 0;
  std::map<ServerOrderSubject, AcceptedOrder> orders_;
  std::map<ModelId, std::string> holds_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_DUTIES_DUTY_STORE_H_
