#ifndef CAMPHORSAIL_RUNTIME_PROVIDER_SENDER_H_
#define CAMPHORSAIL_RUNTIME_PROVIDER_SENDER_H_

#include <functional>
#include <string>

#include "camphorsail/base/network_address.h"
#include "camphorsail/control/control_event.h"
#include "camphorsail/duties/provider_call.h"
#include "camphorsail/http/http_caller.h"
#include "camphorsail/runtime/provider_dialect.h"

namespace camphorsail {

/// Makes calls to the provider by HTTP. Thread-safe.
class ProviderSender {
 public:
  /// Called on the thread of the calls; must not block.
  using Sink =
      std::function<void(const ProviderCall& call, ProviderOutcome outcome)>;

  ProviderSender(const NetworkAddress& provider,
                 const ProviderDialect& dialect,
                 Sink sink);

  void Call(ProviderCall call);

 private:
  ProviderOutcome OutcomeOf(const HttpCallResult& result) const;

  const std::string base_url_;
  const ProviderDialect dialect_;
  const Sink sink_;
  /// Ends its thread before the members that the thread uses.
  HttpCaller caller_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_RUNTIME_PROVIDER_SENDER_H_
