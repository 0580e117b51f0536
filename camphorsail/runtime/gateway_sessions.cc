#include "camphorsail/runtime/gateway_sessions.h"

#include <algorithm>
#include <utility>

#include "camphorsail/process/log_event.h"

namespace camphorsail {
namespace {

/// The bits of a poll's token above these identify the start of the gateway's
/// process.
constexpr int kProcessShift = 32;

}  // namespace

void GatewaySessions::OnPoll(const VmId& from, const GatewayPoll& poll) {
  {
    absl::MutexLock lock(&mutex_);
    Session& session = sessions_[from];
    if (const uint64_t process = poll.token >> kProcessShift;
        session.process != process) {
      session = Session();
      session.process = process;
    }
    session.polled_at = hooks_.now();
    session.table_version = poll.table_version;
    session.loads = poll.loads;
    session.demand = poll.demand;
    session.admission = poll.admission;
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
    for (const auto& [replica, replica_load] : replica_loads_) {
      update.gateways += replica_load.load.gateways;
      all.Add(replica_load.load.loads);
      update.demand += replica_load.load.demand;
      MergeAdmissionStates(replica_load.load.admission, &update.admission);
    }
  }
  if (!result) {
    LogEvent("gateway_polls_unconfirmed", LogLevel::kWarning)
        .Add("polls", polls.size())
        .Add("reason", result.error().message);
  }
  for (const auto& [gateway, poll] : polls) {
    GatewayUpdate answer = update;
    answer.token = poll.token;
    GatewayServerLoadSum others = all;
    if (const auto own = own_loads.find(gateway); own != own_loads.end()) {
      others.Subtract(own->second);
    }
    answer.loads = others.Loads();
    {
      absl::MutexLock lock(&mutex_);
      const auto session = sessions_.find(gateway);
      if (session != sessions_.end()) {
        AddTable(&session->second, &answer);
      }
    }
    hooks_.send(gateway, answer);
  }
}

void GatewaySessions::OnGroupLoad(const VmId& replica, GatewayGroupLoad load) {
  absl::MutexLock lock(&mutex_);
  replica_loads_[replica] = {hooks_.now(), std::move(load)};
}

GatewayGroupLoad GatewaySessions::GroupLoad() {
  absl::MutexLock lock(&mutex_);
  return OwnLoad();
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

void GatewaySessions::RemoveExpired() {
  const MonoTime oldest = hooks_.now() - kSessionLifetime;
  std::erase_if(sessions_, [&](const auto& item) {
    return item.second.polled_at < oldest;
  });
  std::erase_if(replica_loads_, [&](const auto& item) {
    return item.second.received_at < oldest;
  });
}

}  // namespace camphorsail
