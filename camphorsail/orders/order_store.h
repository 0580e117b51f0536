#ifndef CAMPHORSAIL_ORDERS_ORDER_STORE_H_
#define CAMPHORSAIL_ORDERS_ORDER_STORE_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/orders/order_types.h"

namespace camphorsail {

/// Maximum number of engines with a desired state, with an observed state and
/// with an open order, each. More than twice the target size of 1,500 servers.
constexpr size_t kMaxManagedEngines = 4096;
/// Maximum number of artifacts in the desired or observed state of one engine.
/// More than twice the number that is planned for one engine.
constexpr size_t kMaxEngineArtifacts = 256;
/// Number of latest changes of desired states whose copies are recognised. A
/// copy of a command arrives within seconds, or when a frozen VM resumes.
constexpr size_t kMaxRememberedChanges = 1024;

/// The replicated state of engine orders: the desired and the observed state of
/// each engine, and the orders that may still run, called open. An order is
/// committed here before it is sent, so that a new leader knows about it. Owned
/// by `ControlState`; not thread-safe.
class OrderStore {
 public:
  /// Sets or removes the desired state of an engine. A change whose id is among
  /// the latest `kMaxRememberedChanges` is not applied again.
  /// @return `kOverloaded` when too many engines are managed, `kInvalidRequest`
  /// when the state has too many artifacts.
  Expected<void> Apply(const DesiredEngine& desired);
  /// Records an order that is about to be sent as open.
  /// @return `kNotLeader` when the token is not above the highest one so far,
  /// `kProtocolError` when another order may still run on the same server,
  /// `kOverloaded` when too many orders are open.
  Expected<void> Apply(const OrderIntent& intent);
  /// Records the observed state of an engine. Its open order is removed when
  /// the observation shows that the order can no longer run. An observation
  /// that is older than the recorded one, by incarnation and then by token,
  /// changes nothing.
  /// @return `kOverloaded` or `kInvalidRequest` as for `DesiredEngine`.
  Expected<void> Apply(const OrderObservation& observation);

  /// @return The order that may still run on the server; null when there is
  /// none.
  const OrderIntent* FindOpen(const BackendServerId& server) const;
  const OrderObservation* FindObserved(const BackendServerId& server) const;

  const std::map<BackendServerId, DesiredEngine>& desired() const {
    return desired_;
  }
  /// Orders that may still run, at most one for each server.
  const std::map<BackendServerId, OrderIntent>& open() const { return open_; }
  /// @return The highest token of any recorded order.
  const FencingToken& highest_token() const { return highest_token_; }

  /// @return The encoding of the whole object.
  std::string Snapshot() const;
  /// @param bytes An encoding by `Snapshot`.
  /// @return The restored object; `kDataCorrupt` when `bytes` is not valid.
  static Expected<OrderStore> Restore(std::string_view bytes);

 private:
  /// Stores the id of an applied change; zero is not stored.
  void RecordChange(uint64_t change);

  std::map<BackendServerId, DesiredEngine> desired_;
  std::map<BackendServerId, OrderObservation> observed_;
  std::map<BackendServerId, OrderIntent> open_;
  FencingToken highest_token_;
  /// Ids of the latest changes, oldest first.
  std::deque<uint64_t> changes_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ORDERS_ORDER_STORE_H_
