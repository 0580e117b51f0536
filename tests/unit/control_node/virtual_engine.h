#ifndef TESTS_UNIT_CONTROL_NODE_VIRTUAL_ENGINE_H_
#define TESTS_UNIT_CONTROL_NODE_VIRTUAL_ENGINE_H_

#include <vector>

#include "tests/unit/control_node/control_cluster.h"

namespace camphorsail {

/// Simulates an engine of a `ControlCluster`. Calls arrive late or never,
/// orders take up to eight seconds, and answers may be lost. The engine stops
/// working on an order when the connection is closed at the deadline, but not
/// when the VM that sent the order is lost.
class VirtualEngine {
 public:
  VirtualEngine(const BackendServerId& id,
                bool checks_tokens,
                uint64_t seed,
                ControlCluster* cluster)
      : id_(id),
        checks_tokens_(checks_tokens),
        random_(seed),
        cluster_(cluster) {}

  EngineInfo info() const { return {Incarnation(1), checks_tokens_}; }
  const EngineState& state() const { return state_; }
  /// @return Number of orders that were applied after an order of a newer
  /// leader.
  int violations() const { return violations_; }
  /// @return Number of loads of an artifact that was already loaded.
  int double_loads() const { return double_loads_; }
  /// @return Number of applied orders.
  int applied() const { return applied_; }

  /// Receives a call from a VM.
  void OnCall(int vm, const EngineCallAction& call);
  /// Lets calls arrive and orders end whose time has come.
  void Step();

 private:
  struct Call {
    int vm = 0;
    /// The VM's `starts` at the time of the call.
    int start = 0;
    EngineCallAction action;
    MonoTime arrives;
    /// When the order ends; set while it runs.
    std::optional<MonoTime> done;
  };

  void Arrive(Call* call);
  void Apply(const OrderIntent& order);
  void Answer(const Call& call, bool with_state);

  const BackendServerId id_;
  const bool checks_tokens_;
  Random random_;
  ControlCluster* const cluster_;
  EngineState state_;
  FencingToken highest_;
  TermNumber newest_applied_;
  std::vector<Call> calls_;
  int violations_ = 0;
  int double_loads_ = 0;
  int applied_ = 0;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_CONTROL_NODE_VIRTUAL_ENGINE_H_
