#ifndef CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_HOOKS_H_
#define CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_HOOKS_H_

#include <functional>

#include "camphorsail/control/control_action.h"

namespace camphorsail {

/// Functions of the daemon that the control path calls. Each hook is called on
/// the control thread and must not block.
struct ControlRuntimeHooks {
  /// Must not return while requests may still be admitted by earlier settings.
  std::function<void(const Ref<EffectiveSettings>&)> publish_settings;
  std::function<void(MonoTime valid_until)> publish_lease;
  std::function<void(const PublishLimitsAction&)> publish_limits;
  std::function<void(const VmId& to, const ControlMessage&)> send;
  std::function<void(const LedgerOpenAnsweredAction&)> ledger_answer;
  /// The result is posted as an `EngineCallResultEvent`.
  std::function<void(const EngineCallAction&)> call_engine;
  /// The result is posted as a `ProviderCallEndedEvent`.
  std::function<void(const ProviderCallAction&)> call_provider;
  std::function<void(const ControlTimelineAction&)> note;
  std::function<void(const Ref<SharedRoutingTable>&)> publish_routing;
  std::function<void(const PublishDeparturesAction&)> publish_departures;
  /// A write to the disk failed for good. Nothing may be acknowledged any more,
  /// so the process has to stop.
  std::function<void(const Error&)> storage_failed;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_CONTROL_RUNTIME_HOOKS_H_
