#ifndef CAMPHORSAIL_CONTROL_ORDER_DRIVER_H_
#define CAMPHORSAIL_CONTROL_ORDER_DRIVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/command.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/control/control_event.h"
#include "camphorsail/orders/order_planner.h"
#include "camphorsail/orders/order_store.h"

namespace camphorsail {

/// Runs the `OrderPlanner` while this VM is the leader: turns its plans into
/// commands for the log and calls to engines, and passes their outcomes to it.
/// Each term has a planner of its own, so that no knowledge of an earlier term
/// is used.
///
/// Owned by `ControlNode`. Not thread-safe.
class OrderDriver {
 public:
  /// This VM's leadership at the time of a step.
  struct Leadership {
    TermNumber term;
    /// See `Replica::QuorumContact`.
    MonoTime quorum_contact;
  };
  /// A command for the log, with the id by which its outcome is reported.
  struct Proposal {
    uint64_t id = 0;
    CommandBody body;
  };
  struct Output {
    std::vector<Proposal> proposals;
    std::vector<EngineCallAction> calls;
  };

  explicit OrderDriver(const OrderPlannerSettings& settings)
      : settings_(settings) {}

  /// Takes the set of available engines.
  void OnEngines(const EnginesEvent& event);
  /// Handles the outcome of a call to an engine.
  /// @param store The replicated orders; must contain all entries of earlier
  ///     terms.
  /// @param output Resulting proposals are appended.
  void OnCallResult(const EngineCallResultEvent& event,
                    const OrderStore& store,
                    Output* output);
  /// Handles the outcome of a proposal.
  /// @param id Id of the proposal.
  /// @param committed False when the command was rejected or its outcome is not
  ///     known.
  void OnProposalAnswer(uint64_t id, bool committed);

  /// @return True when `Advance` must be called.
  bool IsDue(MonoTime now) const { return now >= next_plan_; }
  /// Plans the next proposals and calls.
  /// @param leadership Set only when this VM is the leader and its state
  ///     contains all entries of earlier terms.
  /// @param output The proposals and calls are appended.
  void Advance(const std::optional<Leadership>& leadership,
               const OrderStore& store,
               MonoTime now,
               Output* output);

 private:
  /// Time after the decision in which a call must be written to the connection;
  /// later it is not sent any more. The planner counts its time limits from the
  /// decision, not from the sending.
  static constexpr absl::Duration kSendTimeout = absl::Seconds(1);
  static constexpr absl::Duration kObserveTimeout = absl::Seconds(2);
  /// Time between two runs of the planner when no event causes an earlier run.
  static constexpr absl::Duration kPlanInterval = absl::Milliseconds(100);

  const OrderPlannerSettings settings_;
  std::map<BackendServerId, EngineInfo> engines_;
  /// Set while this VM is the leader.
  std::optional<OrderPlanner> planner_;
  TermNumber term_;
  MonoTime next_plan_;
  uint64_t next_proposal_ = 1;
  /// Intents that are proposed and not yet answered, by proposal id.
  std::map<uint64_t, OrderIntent> proposed_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_ORDER_DRIVER_H_
