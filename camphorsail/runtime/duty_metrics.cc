#include "camphorsail/runtime/duty_metrics.h"

#include <variant>

#include "camphorsail/duties/duty_store.h"

namespace camphorsail {

DutyMetrics::DutyMetrics(Metrics* metrics) : metrics_(metrics) {
  calls_ = metrics_->Declare({"camphorsail_duty_calls_total",
                              MetricKind::kCounter,
                              "Calls of this VM to the provider.",
                              {"kind", "outcome"}});
  const auto declare = [this](const char* name, const char* help) {
    return metrics_->Declare({name, MetricKind::kGauge, help, {}});
  };
  holds_duties_ = declare("camphorsail_duty_holder",
                          "1 while this VM leads and calls the provider.");
  token_ = declare("camphorsail_duty_token",
                   "Fencing token of the calls to the provider.");
  open_windows_ = declare("camphorsail_duty_open_windows",
                          "Usage reports that are agreed and not accepted.");
  abandoned_windows_ = declare("camphorsail_duty_abandoned_windows",
                               "Usage reports that were given up so far.");
}

void DutyMetrics::OnCallEnded(const ProviderCall& call,
                              ProviderOutcome outcome) {
  const bool is_usage = std::holds_alternative<UsageWindow>(call.content);
  metrics_->Increment(calls_,
                      {is_usage ? "usage" : "servers", ToString(outcome)});
}

void DutyMetrics::Update(const ControlNode& node, const VmId& vm) {
  const DutyStore& store = node.state().duties();
  const DutyHolder& holder = store.holder();
  const bool holds_duties = node.replica().role() == ReplicaRole::kLeader &&
                            holder.claim.vm == vm &&
                            holder.claim.term == node.replica().term();
  metrics_->Set(holds_duties_, {}, holds_duties ? 1 : 0);
  metrics_->Set(token_, {}, static_cast<double>(holder.token.value()));
  metrics_->Set(open_windows_, {},
                static_cast<double>(store.open_windows().size()));
  metrics_->Set(abandoned_windows_, {},
                static_cast<double>(store.abandoned_windows()));
}

}  // namespace camphorsail
