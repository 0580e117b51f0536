#ifndef CAMPHORSAIL_ORDERS_ORDER_PLANNER_H_
#define CAMPHORSAIL_ORDERS_ORDER_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/orders/order_store.h"
#include "camphorsail/orders/order_types.h"

namespace camphorsail {

/// Parameters of an `OrderPlanner`.
struct OrderPlannerSettings {
  /// Time limit of an order. When it passes, the connection is closed, and the
  /// engine stops working on the order.
  absl::Duration max_order_duration = absl::Seconds(45);
  /// The orders of a leader must end within this time after its last quorum
  /// contact. A new leader waits as long before it sends orders to engines that
  /// ignore the fencing token, so that orders of two leaders do not overlap.
  absl::Duration order_lease = absl::Seconds(60);
  /// Fraction of `order_lease` that a leader uses itself. The rest allows for
  /// clocks that run at different rates.
  double lease_fraction = 0.95;
  /// False only in tests, which thereby show that their checks detect orders of
  /// an earlier leader.
  bool wait_for_order_lease = true;
  /// Maximum number of simultaneous loads, because the store from which engines
  /// load model weights limits its rate.
  size_t max_simultaneous_loads = 3;
  /// Minimum time between two requests for the state of the same engine.
  absl::Duration observe_interval = absl::Seconds(1);
};

/// What the leader knows about an engine from the engine's announcements.
struct EngineInfo {
  Incarnation incarnation;
  bool checks_fencing_tokens = false;

  friend bool operator==(const EngineInfo&, const EngineInfo&) = default;
};

/// An engine's answer to a request for its state. `OrderPlanner::OnObserved`
/// makes the replicated record, an `OrderObservation`, from it.
struct EngineObservation {
  BackendServerId server;
  Incarnation incarnation;
  EngineState state;
  /// True while an order runs on the engine.
  bool busy = false;
  /// The token of the request. An engine that checks tokens rejects smaller
  /// ones from then on.
  FencingToken token;
};

/// Derives orders from the difference between the desired and the observed
/// state of each engine. An order is committed to the `OrderStore` before it is
/// sent and is sent at most once. When its answer is lost, the planner asks the
/// engine for its state to learn the outcome. Exists only on the leader; not
/// thread-safe.
class OrderPlanner {
 public:
  /// A request to an engine for its state.
  struct ObserveRequest {
    BackendServerId server;
    FencingToken token;
  };
  /// What the leader must do now.
  struct Plan {
    /// Orders to propose to the replicated log.
    std::vector<OrderIntent> propose;
    /// Committed orders to send to the engines.
    std::vector<OrderIntent> send;
    /// Requests for the state of engines, to send to them.
    std::vector<ObserveRequest> observe;
  };

  /// @param settings Parameters.
  /// @param term The leader's term.
  /// @param elected_at When the leader was elected, on its monotonic clock.
  OrderPlanner(const OrderPlannerSettings& settings,
               TermNumber term,
               MonoTime elected_at);

  /// Decides what to do now. Must be called every 100 ms and after each event.
  /// @param store The replicated state of the orders.
  /// @param engines The engines that are available.
  /// @param now The leader's monotonic time.
  /// @param quorum_contact When a quorum of voters last confirmed the leader.
  Plan Step(const OrderStore& store,
            const std::map<BackendServerId, EngineInfo>& engines,
            MonoTime now,
            MonoTime quorum_contact);

  /// Handles the end of the call that sent an order: it was answered,
  /// successfully or not, or was never written. The order no longer runs.
  void OnAnswer(const BackendServerId& server, const FencingToken& token);
  /// Handles the rejection of a proposed intent, so that another can be
  /// proposed for its server.
  void OnProposalRejected(const OrderIntent& intent);
  /// Handles an engine's answer to a request for its state.
  /// @param engine The engine that answered.
  /// @return The observation to propose to the replicated log.
  OrderObservation OnObserved(const OrderStore& store,
                              const EngineInfo& engine,
                              const EngineObservation& observation) const;

 private:
  /// An order that this leader sent.
  struct Sent {
    FencingToken token;
    MonoTime at;
    /// True when the call has ended, so that the order no longer runs.
    bool has_ended = false;
  };

  /// The last request for the state of an engine.
  struct StateRequest {
    MonoTime at;
    FencingToken token;
  };

  /// Adds a request for the engine's state to the plan, unless the last one was
  /// less than `observe_interval` ago.
  void Observe(const OrderStore& store,
               const BackendServerId& server,
               MonoTime now,
               Plan* plan);
  /// @return A token above the highest recorded one and above all earlier ones
  /// of this planner.
  FencingToken NextToken(const OrderStore& store);
  /// @return True when the order can no longer run on the engine, even if the
  /// engine ignores the fencing token.
  bool HasEnded(const OrderIntent& intent, MonoTime now) const;
  /// @return True when no order of an earlier leader can still run.
  bool EarlierLeasesEnded(MonoTime now) const;
  /// @return True when an order may be sent now: it ends within the order
  /// lease, and no order of an earlier leader can take effect on the engine.
  bool MaySend(const EngineInfo& engine,
               MonoTime now,
               MonoTime quorum_contact) const;
  /// @return The next order, without a token, towards the desired state;
  /// nothing when the engine has reached it.
  std::optional<OrderIntent> NextOrder(const DesiredEngine& desired,
                                       const OrderObservation& observed) const;
  /// Adds new orders to the plan, by priority of loading and within
  /// `max_simultaneous_loads`.
  void PlanOrders(const OrderStore& store,
                  const std::map<BackendServerId, EngineInfo>& engines,
                  MonoTime now,
                  Plan* plan);

  OrderPlannerSettings settings_;
  TermNumber term_;
  MonoTime elected_at_;
  /// Counter of the last token made.
  uint64_t counter_ = 0;
  /// Intents that are proposed and not yet in the `OrderStore`, by server.
  std::map<BackendServerId, OrderIntent> proposed_;
  std::map<BackendServerId, Sent> sent_;
  /// The last request for the state of each engine.
  std::map<BackendServerId, StateRequest> state_requests_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ORDERS_ORDER_PLANNER_H_
