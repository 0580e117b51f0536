#include "camphorsail/duties/duty_store.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {
namespace {

/// The fields of a snapshot. Maps are not accepted in MessagePack that is read.
using SnapshotFields =
    std::tuple<DutyHolder,
               std::vector<UsageWindow>,
               std::vector<UsageWindowNumber>,
               std::vector<std::pair<ServerOrderSubject, AcceptedOrder>>,
               std::vector<std::pair<ModelId, std::string>>,
               UsageWindowNumber,
               uint64_t>;

}  // namespace

Expected<void> DutyStore::Apply(const DutyClaim& claim) {
  if (claim.term < holder_.claim.term) {
    return Fail(ErrorKind::kNotLeader,
                "a leader of a later term holds the duties");
  }
  holder_.claim = claim;
  holder_.token = DutyToken(holder_.token.value() + 1);
  return {};
}

Expected<void> DutyStore::Apply(const UsageAgreement& agreement) {
  const UsageWindowNumber number = agreement.window.number;
  if (number < first_kept_) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("usage window ", number.value(),
                             " is older than all that are kept"));
  }
  if (IsAgreed(number)) {
    return {};
  }
  open_windows_.emplace(number, agreement.window);
  if (open_windows_.size() > kMaxOpenWindows) {
    // Its report may have reached the provider.
    KeepAfter(open_windows_.begin()->first);
    open_windows_.erase(open_windows_.begin());
    ++abandoned_windows_;
  }
  return {};
}

Expected<void> DutyStore::Apply(const UsageSettlement& settlement) {
  open_windows_.erase(settlement.number);
  settled_windows_.insert(settlement.number);
  if (settled_windows_.size() > kMaxSettledWindows) {
    KeepAfter(*settled_windows_.begin());
    settled_windows_.erase(settled_windows_.begin());
  }
  return {};
}

void DutyStore::KeepAfter(UsageWindowNumber number) {
  first_kept_ = std::max(first_kept_, UsageWindowNumber(number.value() + 1));
}

Expected<void> DutyStore::Apply(const OrderSettlement& settlement) {
  const auto found = orders_.find(settlement.order.subject);
  if (found == orders_.end() && orders_.size() >= kMaxOrderSubjects) {
    return Fail(ErrorKind::kOverloaded, "too many subjects of server orders");
  }
  if (found == orders_.end() ||
      std::tie(found->second.token, found->second.call_id) <=
          std::tie(settlement.token, settlement.call_id)) {
    orders_[settlement.order.subject] = {settlement.order.count,
                                         settlement.token, settlement.call_id};
  }
  return {};
}

Expected<void> DutyStore::Apply(const OrderHold& hold) {
  if (!hold.on_hold) {
    holds_.erase(hold.service);
    return {};
  }
  if (holds_.size() >= kMaxHolds && !holds_.contains(hold.service)) {
    return Fail(ErrorKind::kOverloaded, "too many services are on hold");
  }
  holds_[hold.service] = hold.operator_name;
  return {};
}

std::string DutyStore::Snapshot() const {
  std::vector<UsageWindow> windows;
  for (const auto& [number, window] : open_windows_) {
    windows.push_back(window);
  }
  return PackBytes(SnapshotFields(
      holder_, windows, {settled_windows_.begin(), settled_windows_.end()},
      {orders_.begin(), orders_.end()}, {holds_.begin(), holds_.end()},
      first_kept_, abandoned_windows_));
}

Expected<DutyStore> DutyStore::Restore(std::string_view bytes) {
  Expected<SnapshotFields> fields = UnpackBytes<SnapshotFields>(bytes);
  if (!fields) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("duties: ", fields.error().message));
  }
  auto& [holder, windows, settled, orders, holds, first_kept, abandoned] =
      *fields;
  DutyStore store;
  store.holder_ = std::move(holder);
  for (UsageWindow& window : windows) {
    const UsageWindowNumber number = window.number;
    store.open_windows_.emplace(number, std::move(window));
  }
  store.settled_windows_.insert(settled.begin(), settled.end());
  store.orders_.insert(orders.begin(), orders.end());
  store.holds_.insert(holds.begin(), holds.end());
  store.first_kept_ = first_kept;
  store.abandoned_windows_ = abandoned;
  return store;
}

}  // namespace camphorsail
