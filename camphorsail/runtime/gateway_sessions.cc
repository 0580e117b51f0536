#include "camphorsail/runtime/gateway_sessions.h"

#include <algorithm>
#include <utility>

#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// Time for which the evidence is sent to the other replicas after one of them
/// had other evidence. Covers a few lost messages.
constexpr absl::Duration kEvidenceShareTime = absl::Seconds(1);
/// Time after which a change of the quarantine that was proposed, and that is
/// still not in the list, is proposed again.
constexpr absl::Duration kProposalInterval = absl::Seconds(2);
/// Bound of what gateways ask for in one message between replicas.
constexpr size_t kMaxRequests = 64;

/// Adds what one gateway asks for to a sum.
void MergeRequests(const QuarantineReport& added, QuarantineReport* sum) {
  for (const PartVerdict& verdict : added.verdicts) {
    const bool is_known = std::any_of(
        sum->verdicts.begin(), sum->verdicts.end(),
        [&](const PartVerdict& known) { return known.parts == verdict.parts; });
    if (!is_known && sum->verdicts.size() < kMaxRequests) {
      sum->verdicts.push_back(verdict);
    }
  }
  sum->sound.insert(sum->sound.end(), added.sound.begin(), added.sound.end());
  std::sort(sum->sound.begin(), sum->sound.end());
  sum->sound.erase(std::unique(sum->sound.begin(), sum->sound.end()),
                   sum->sound.end());
  sum->sound.resize(std::min(sum->sound.size(), kMaxRequests));
  for (const TrialRequest& trial : added.trials) {
    const bool is_known = std::any_of(
        sum->trials.begin(), sum->trials.end(),
        [&](const TrialRequest& known) { return known.entry == trial.entry; });
    if (!is_known && sum->trials.size() < kMaxRequests) {
      sum->trials.push_back(trial);
    }
  }
}

}  // namespace

void GatewaySessions::OnPoll(const VmId& from, const GatewayPoll& poll) {
  {
    absl::MutexLock lock(&mutex_);
    Session& session = sessions_[from];
    if (const uint64_t process = ProcessOf(poll); session.process != process) {
      session = Session();
      session.process = process;
    }
    session.polled_at = hooks_.now();
    session.table_version = poll.table_version;
    session.loads = poll.loads;
    session.demand = poll.demand;
    session.admission = poll.admission;
    session.quarantine = poll.quarantine;
    if (!poll.accounts.empty()) {
      UpdateAccountWork(poll.accounts, &session.accounts);
      session.accounts_at = hooks_.now();
    }
    evidence_.Merge(poll.quarantine.crashes, hooks_.now());
    waiting_polls_[from] = poll;
    if (std::exchange(read_in_progress_, true)) {
      return;
    }
  }
  StartRead();
}

void GatewaySessions::StartRead() {
  Polls polls;
  {
    absl::MutexLock lock(&mutex_);
    polls.swap(waiting_polls_);
    if (polls.empty()) {
      read_in_progress_ = false;
      return;
    }
  }
  hooks_.when_current(
      [this, polls = std::move(polls)](const Expected<void>& result,
                                       const ControlNode& node) {
        OnCurrent(polls, result, node);
        StartRead();
      });
}

void GatewaySessions::OnCurrent(const Polls& polls,
                                const Expected<void>& result,
                                const ControlNode& node) {
  const Ref<SharedRoutingTable>& table = node.state().routing();
  GatewayUpdate update;
  update.confirmed = result.has_value();
  update.table_version = table->table.version;
  for (const Member& member : node.replica().CurrentMembership().members) {
    update.replicas.push_back(member.vm);
  }
  GatewayServerLoadSum all;
  update.quarantine.list_version = node.state().quarantine().version();
  std::vector<CrashRecord> crashes;
  std::vector<ServiceAccountWork> account_work;
  // What each gateway has in the sum. Its poll may be older, when it has polled
  // again since the read began.
  std::map<VmId, std::vector<GatewayServerLoad>> own_loads;
  {
    absl::MutexLock lock(&mutex_);
    history_.OnTable(table);
    const GatewayGroupLoad own = OwnLoad();
    for (const auto& [gateway, poll] : polls) {
      const auto session = sessions_.find(gateway);
      if (session != sessions_.end()) {
        own_loads[gateway] = session->second.loads;
      }
    }
    update.gateways = own.gateways;
    all.Add(own.loads);
    update.demand = own.demand;
    update.admission = own.admission;
    AccountWorkSum accounts;
    accounts.Add(OwnAccounts());
    evidence_.Expire(hooks_.now());
    update.quarantine.evidence_digest = evidence_.Digest();
    crashes = evidence_.Export(hooks_.now());
    for (const auto& [replica, replica_load] : replica_loads_) {
      update.gateways += replica_load.load.gateways;
      all.Add(replica_load.load.loads);
      update.demand += replica_load.load.demand;
      MergeAdmissionStates(replica_load.load.admission, &update.admission);
      accounts.Add(replica_load.load.accounts);
    }
    account_work = accounts.List();
  }
  if (!result) {
    LogEvent("gateway_polls_unconfirmed", LogLevel::kWarning)
        .Add("polls", polls.size())
        .Add("reason", result.error().message);
  }
  for (const auto& [gateway, poll] : polls) {
    GatewayUpdate answer = update;
    answer.token = poll.token;
    answer.true_micros = hooks_.true_micros();
    GatewayServerLoadSum others = all;
    if (const auto own = own_loads.find(gateway); own != own_loads.end()) {
      others.Subtract(own->second);
    }
    answer.loads = others.Loads();
    if (poll.quarantine.evidence_digest != update.quarantine.evidence_digest) {
      answer.quarantine.crashes = crashes;
    }
    if (poll.quarantine.list_version != update.quarantine.list_version) {
      answer.quarantine.entries = node.state().quarantine().Entries();
    }
    {
      absl::MutexLock lock(&mutex_);
      const auto session = sessions_.find(gateway);
      if (session != sessions_.end()) {
        AddTable(&session->second, &answer);
        if (hooks_.now() - session->second.accounts_sent_at >=
            AccountShares::kReportInterval) {
          session->second.accounts_sent_at = hooks_.now();
          answer.accounts = NextAccountWork(account_work, kMaxSentAccounts,
                                            &session->second.account_reports);
        }
      }
    }
    hooks_.send(gateway, answer);
  }
}

void GatewaySessions::OnGroupLoad(const VmId& replica, GatewayGroupLoad load) {
  absl::MutexLock lock(&mutex_);
  const MonoTime now = hooks_.now();
  evidence_.Merge(load.quarantine.crashes, now);
  if (load.quarantine.evidence_digest != evidence_.Digest()) {
    share_evidence_until_ = now + kEvidenceShareTime;
  }
  ReplicaLoad& known = replica_loads_[replica];
  std::vector<ServiceAccountWork> accounts = std::move(known.load.accounts);
  if (!load.accounts.empty()) {
    UpdateAccountWork(load.accounts, &accounts);
    known.accounts_at = now;
  } else if (now - known.accounts_at >= AccountShares::kFleetWorkLifetime) {
    accounts.clear();
  }
  known.received_at = now;
  known.load = std::move(load);
  known.load.accounts = std::move(accounts);
}

GatewayGroupLoad GatewaySessions::GroupLoad() {
  absl::MutexLock lock(&mutex_);
  GatewayGroupLoad load = OwnLoad();
  const MonoTime now = hooks_.now();
  if (now - accounts_shared_at_ >= AccountShares::kReportInterval) {
    accounts_shared_at_ = now;
    load.accounts =
        NextAccountWork(OwnAccounts(), kMaxReplicaAccounts, &account_reports_);
  }
  load.quarantine.evidence_digest = evidence_.Digest();
  if (now < share_evidence_until_) {
    load.quarantine.crashes = evidence_.Export(now);
  }
  return load;
}

GatewayGroupLoad GatewaySessions::TotalLoad() {
  absl::MutexLock lock(&mutex_);
  GatewayGroupLoad total = OwnLoad();
  GatewayServerLoadSum sum;
  sum.Add(total.loads);
  for (const auto& [replica, replica_load] : replica_loads_) {
    total.gateways += replica_load.load.gateways;
    total.demand += replica_load.load.demand;
    sum.Add(replica_load.load.loads);
  }
  total.loads = sum.Loads();
  return total;
}

std::vector<CrashRecord> GatewaySessions::CrashRecords() {
  absl::MutexLock lock(&mutex_);
  evidence_.Expire(hooks_.now());
  return evidence_.Export(hooks_.now());
}

template <typename Function>
void GatewaySessions::ForEachReport(const Function& function) {
  RemoveExpired();
  for (const auto& [vm, session] : sessions_) {
    function(session.quarantine);
  }
  for (const auto& [replica, load] : replica_loads_) {
    function(load.load.quarantine);
  }
}

bool GatewaySessions::MayPropose(const QuarantineChange& change) {
  const MonoTime now = hooks_.now();
  std::erase_if(proposed_until_,
                [&](const auto& item) { return item.second <= now; });
  const uint64_t key =
      MixBits(QuarantineIdOf(change.parts).value() + change.action);
  return proposed_until_.emplace(key, now + kProposalInterval).second;
}

std::vector<QuarantineChange> GatewaySessions::QuarantineChanges(
    const QuarantineStore& list,
    absl::Time wall_now) {
  absl::MutexLock lock(&mutex_);
  std::vector<QuarantineChange> changes;
  const auto propose = [&](QuarantineAction action, QuarantineChange change)
                           ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                             change.action = static_cast<uint8_t>(action);
                             if (MayPropose(change)) {
                               changes.push_back(std::move(change));
                             }
                           };
  ForEachReport(
      [&](const QuarantineReport& report)
          ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
            for (const PartVerdict& verdict : report.verdicts) {
              if (list.Find(QuarantineIdOf(verdict.parts)) == nullptr) {
                QuarantineChange change;
                change.parts = verdict.parts;
                change.crashes = verdict.crashes;
                propose(QuarantineAction::kAdd, std::move(change));
              }
            }
            if (!report.sound.empty()) {
              QuarantineChange change;
              change.parts = report.sound;
              propose(QuarantineAction::kRelease, std::move(change));
            }
            for (const TrialRequest& trial : report.trials) {
              const QuarantineEntry* entry = list.Find(trial.entry);
              if (entry != nullptr &&
                  absl::ToUnixMicros(wall_now) >= entry->trial_at_micros) {
                QuarantineChange change;
                change.parts = entry->parts;
                change.gateway = trial.gateway;
                change.process = trial.process;
                propose(QuarantineAction::kTrial, std::move(change));
              }
            }
          });
  return changes;
}

GatewayGroupLoad GatewaySessions::OwnLoad() {
  RemoveExpired();
  GatewayServerLoadSum sum;
  GatewayGroupLoad own;
  own.gateways = static_cast<uint32_t>(sessions_.size());
  for (const auto& [vm, session] : sessions_) {
    sum.Add(session.loads);
    own.demand += session.demand;
    MergeAdmissionStates(session.admission, &own.admission);
    MergeRequests(session.quarantine, &own.quarantine);
  }
  own.loads = sum.Loads();
  return own;
}

void GatewaySessions::OnTable(const Ref<SharedRoutingTable>& table) {
  std::vector<std::pair<VmId, GatewayUpdate>> updates;
  {
    absl::MutexLock lock(&mutex_);
    history_.OnTable(table);
    RemoveExpired();
    for (auto& [vm, session] : sessions_) {
      GatewayUpdate update;
      update.table_version = history_.version();
      if (AddTable(&session, &update)) {
        updates.emplace_back(vm, std::move(update));
      }
    }
  }
  for (const auto& [gateway, update] : updates) {
    hooks_.send(gateway, update);
  }
}

bool GatewaySessions::AddTable(Session* session, GatewayUpdate* update) {
  const uint64_t current = history_.version();
  const MonoTime now = hooks_.now();
  const bool on_its_way = session->sent_base == session->table_version &&
                          now - session->sent_at < kTableResendInterval;
  // What was sent last arrives before what is sent now.
  const uint64_t base =
      on_its_way ? session->sent_version : session->table_version;
  if (base >= current) {
    return false;
  }
  if (auto deltas = history_.DeltasSince(base)) {
    update->deltas = *std::move(deltas);
  } else {
    update->table.push_back(history_.TableForGateway());
  }
  session->sent_version = current;
  session->sent_base = session->table_version;
  session->sent_at = now;
  return true;
}

const std::vector<ServiceAccountWork>& GatewaySessions::OwnAccounts() {
  const MonoTime now = hooks_.now();
  if (now - own_accounts_at_ >= kAccountsSumInterval) {
    own_accounts_at_ = now;
    AccountWorkSum sum;
    for (const auto& [vm, session] : sessions_) {
      sum.Add(session.accounts);
    }
    own_accounts_ = sum.List();
  }
  return own_accounts_;
}

std::vector<ServiceAccountWork> GatewaySessions::NextAccountWork(
    const std::vector<ServiceAccountWork>& work,
    size_t max_accounts,
    AccountWorkReports* reports) const {
  std::vector<ServiceAccountWork> messages;
  messages.reserve(work.size());
  if (work.empty()) {
    reports->clear();
  }
  for (const ServiceAccountWork& of_service : work) {
    messages.push_back((*reports)[of_service.service].Next(
        of_service, std::max<size_t>(1, max_accounts / work.size()),
        hooks_.now()));
  }
  return messages;
}

void GatewaySessions::RemoveExpired() {
  const MonoTime oldest = hooks_.now() - kSessionLifetime;
  for (auto& [vm, session] : sessions_) {
    if (hooks_.now() - session.accounts_at >=
        AccountShares::kFleetWorkLifetime) {
      session.accounts.clear();
    }
  }
  std::erase_if(sessions_, [&](const auto& item) {
    return item.second.polled_at < oldest;
  });
  std::erase_if(replica_loads_, [&](const auto& item) {
    return item.second.received_at < oldest;
  });
}

}  // namespace camphorsail
