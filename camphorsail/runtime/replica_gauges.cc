#include "camphorsail/runtime/replica_gauges.h"

#include "camphorsail/settings/settings_store.h"

namespace camphorsail {

ReplicaGauges::ReplicaGauges(Metrics* metrics)
    : metrics_(metrics), process_(metrics) {
  const auto declare = [this](const char* name, const char* help) {
    return metrics_->Declare({name, MetricKind::kGauge, help, {}});
  };
  leads_ = declare("camphorsail_replica_leads", "1 while this VM leads.");
  has_leader_ = declare("camphorsail_replica_has_leader",
                        "1 while this VM knows the leader of its term.");
  term_ = declare("camphorsail_replica_term", "Term of the replicated group.");
  commit_ = declare("camphorsail_replica_commit_index",
                    "Last entry of the log that is committed.");
  voters_ = declare("camphorsail_replica_voters", "Members with a vote.");
  learners_ =
      declare("camphorsail_replica_learners", "Members without a vote.");
  quorum_age_ = declare("camphorsail_replica_quorum_age_seconds",
                        "Time since a quorum confirmed this leader; -1 on "
                        "other VMs.");
  lease_ = declare("camphorsail_replica_lease_left_seconds",
                   "Time for which this VM may admit requests.");
  settings_version_ = declare("camphorsail_replica_settings_version",
                              "Version of the settings tree.");
  table_version_ = declare("camphorsail_replica_table_version",
                           "Version of the routing table.");
}

void ReplicaGauges::Update(const ControlNode& node, MonoTime now) {
  const Replica& replica = node.replica();
  const Membership& membership = replica.CurrentMembership();
  const auto voters = static_cast<double>(membership.VoterCount());
  const std::optional<MonoTime> contact = replica.QuorumContact();
  metrics_->Set(leads_, {}, replica.role() == ReplicaRole::kLeader ? 1 : 0);
  metrics_->Set(has_leader_, {}, replica.LeaderHint().value().empty() ? 0 : 1);
  metrics_->Set(term_, {}, static_cast<double>(replica.term().value()));
  metrics_->Set(commit_, {},
                static_cast<double>(replica.CommitIndex().value()));
  metrics_->Set(voters_, {}, voters);
  metrics_->Set(learners_, {},
                static_cast<double>(membership.members.size()) - voters);
  metrics_->Set(quorum_age_, {},
                contact ? absl::ToDoubleSeconds(now - *contact) : -1);
  metrics_->Set(lease_, {},
                absl::ToDoubleSeconds(node.lease_valid_until() - now));
  metrics_->Set(settings_version_, {},
                static_cast<double>(node.state().settings().version().value()));
  const Ref<SharedRoutingTable> table = node.state().routing();
  metrics_->Set(table_version_, {},
                table ? static_cast<double>(table->table.version) : 0);
}

}  // namespace camphorsail
