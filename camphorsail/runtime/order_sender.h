#ifndef CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_
#define CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_

#include <functional>
#include <memory>

#include "camphorsail/base/ids.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/control/control_event.h"
#include "camphorsail/http/backend_address.h"
#include "camphorsail/http/http_caller.h"

namespace camphorsail {

/// Executes `EngineCallAction`s by HTTP. Thread-safe.
class OrderSender {
 public:
  /// Returns the address of a server; empty when no server of this incarnation
  /// is known.
  using Resolve =
      std::function<BackendAddress(const BackendServerId&, Incarnation)>;
  /// Called on the thread of the calls, or within `Call`; must not block.
  using Sink = std::function<void(EngineCallResultEvent)>;

  OrderSender(Resolve resolve, Sink sink);

  void Call(EngineCallAction action);

 private:
  void Finish(const EngineCallAction& action, const HttpCallResult& result);

  const Resolve resolve_;
  const Sink sink_;
  /// Ends its thread before the members that the thread uses.
  HttpCaller caller_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_ORDER_SENDER_H_
