#include <algorithm>
#include <utility>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/duties/duty_store.h"
#include "camphorsail/membership/departure_store.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/runtime/daemon.h"

// Functions of `Daemon` for the deployment's own protocol, for gateways, and
// for peers that are discovered at run time.
namespace camphorsail {
namespace {

// A peer that has been unreachable for this long is removed. It is added again
// when it connects or when a message is sent to it.
constexpr absl::Duration kPeerRemovalDelay = absl::Seconds(20);
constexpr int kPlatformWorkers = 12;
// Many commits end within this time if there is a quorum, so that a burst of
// departures is refused only without one.
constexpr absl::Duration kDepartureQueueTime = absl::Milliseconds(200);
constexpr absl::Duration kDutyStepInterval = absl::Milliseconds(500);

}  // namespace

Expected<void> Daemon::AddListener(const NetworkAddress& address,
                                   RouteTable routes) {
  Expected<std::unique_ptr<RouteServer>> server = RouteServer::Create(
      ListenerSettings(address), std::move(routes), kPlatformWorkers);
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  platform_ = *std::move(server);
  return {};
}

Expected<uint64_t> Daemon::SetRouting(RoutingTable table) {
  Expected<CommandResult> result = control_->Submit(std::move(table));
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  if (result->error) {
    return tl::unexpected<Error>(*result->error);
  }
  return result->settings_version.value();
}

Expected<Ref<SharedRoutingTable>> Daemon::GetRouting() {
  if (Expected<void> current = control_->WaitUntilCurrent(); !current) {
    return tl::unexpected<Error>(current.error());
  }
  Ref<SharedRoutingTable> table;
  control_->Inspect(
      [&](const ControlNode& node) { table = node.state().routing(); });
  if (!table) {
    return Fail(ErrorKind::kShuttingDown, "the control path has stopped");
  }
  return table;
}

Expected<void> Daemon::OnAnnouncement(const ServerAnnouncement& announcement) {
  const MonoTime now = MonotonicNow();
  if (Expected<void> accepted = directory_.Register(announcement, now);
      !accepted || !announcement.leaving) {
    return accepted;
  }
  return RecordDeparture(directory_.Leave(
      announcement.server, announcement.version.incarnation, now));
}

Expected<bool> Daemon::OnServerLeft(const BackendServerId& server,
                                    std::optional<Incarnation> incarnation) {
  const ServerDeparture departure =
      directory_.Leave(server, incarnation, MonotonicNow());
  if (Expected<void> recorded = RecordDeparture(departure); !recorded) {
    return tl::unexpected<Error>(recorded.error());
  }
  return !departure.description.targets.empty();
}

Expected<void> Daemon::RecordDeparture(const ServerDeparture& departure) {
  bool is_recorded = false;
  control_->Inspect([&](const ControlNode& node) {
    is_recorded = node.state().departures().Covers(
        departure.server, departure.version.incarnation);
  });
  if (is_recorded) {
    return {};
  }
  if (!departure_slots_.Acquire(kDepartureQueueTime)) {
    return Fail(ErrorKind::kOverloaded,
                absl::StrCat("backend server ", departure.server.value(),
                             " is leaving; this cannot be confirmed, because ",
                             kMaxDeparturesInProgress,
                             " other departures are still being committed"));
  }
  const absl::Cleanup done = [this] { departure_slots_.Release(); };
  const Expected<CommandResult> result = control_->Submit(departure);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  return result->error ? tl::unexpected<Error>(*result->error)
                       : Expected<void>();
}

void Daemon::SendTo(const VmId& to, PeerMessage message) {
  const size_t bytes = message.payload.size();
  PeerSendResult result = peers_->Send(to, message);
  if (result == PeerSendResult::kUnknownPeer && !options_.seeds.empty() &&
      peers_->AddPeer({to, {to.value(), options_.peer_listen.port}})) {
    result = peers_->Send(to, std::move(message));
  }
  if (result == PeerSendResult::kTooLarge ||
      result == PeerSendResult::kQueueFull) {
    LogEvent("peer_message_dropped", LogLevel::kWarning)
        .Add("peer", to)
        .Add("bytes", bytes)
        .Add("reason", result == PeerSendResult::kTooLarge
                           ? "larger than a message may be"
                           : "too many bytes or messages wait for the peer");
  }
}

void Daemon::ShareGatewayLoad(MonoTime now) {
  if (now < next_group_load_) {
    return;
  }
  next_group_load_ = now + GatewaySessions::kGroupLoadInterval;
  GatewayGroupLoad load = gateways_.GroupLoad();
  if (duty_feed_.CountsUsage()) {
    const absl::Time wall_now = WallNow();
    duty_feed_.OnClock(options_.vm, wall_now, now);
    load.wall_micros = absl::ToUnixMicros(wall_now);
  }
  std::vector<VmId> replicas;
  std::vector<QuarantineChange> changes;
  control_->Inspect([&](const ControlNode& node) {
    if (node.replica().role() == ReplicaRole::kLeader) {
      changes =
          gateways_.QuarantineChanges(node.state().quarantine(), WallNow());
    }
    for (const Member& member : node.replica().CurrentMembership().members) {
      if (member.vm != options_.vm) {
        replicas.push_back(member.vm);
      }
    }
  });
  for (QuarantineChange& change : changes) {
    control_->Post(SubmitEvent{0, std::move(change)});
  }
  for (const VmId& replica : replicas) {
    if (!peers_->IsConnected(replica)) {
      continue;
    }
    PeerMessage message;
    message.channel = PeerChannel::kGatewayGroupLoad;
    message.payload = PackBytes(load);
    message.replaceable = true;
    peers_->Send(replica, std::move(message));
  }
}

void Daemon::StepDuties(MonoTime now) {
  const ProviderDuties& duties = options_.provider_duties;
  if ((!duties.usage && !duties.server_orders) || now < next_duty_step_) {
    return;
  }
  next_duty_step_ = now + kDutyStepInterval;
  VmId leader;
  bool is_leader = false;
  DutyFeed::LeaderState state;
  Ref<SharedRoutingTable> table;
  control_->Inspect([&](const ControlNode& node) {
    leader = node.replica().LeaderHint();
    is_leader = node.replica().role() == ReplicaRole::kLeader;
    state.term = node.replica().term();
    const DutyStore& store = node.state().duties();
    state.agreed = store.settled_windows();
    for (const auto& [number, window] : store.open_windows()) {
      state.agreed.insert(number);
    }
    if (is_leader) {
      state.orders = store.orders();
      table = node.state().routing();
    }
  });
  if (!is_leader) {
    const UsageForward forward =
        duty_feed_.StepFollower(state.term, state.agreed, now);
    if (!forward.usages.empty() && !leader.value().empty()) {
      SendUsage(leader, forward);
    }
    return;
  }
  const GatewayGroupLoad load = gateways_.TotalLoad();
  DutyInputs inputs;
  directory_.Inspect([&](const ServerRegistry& registry) {
    inputs = duty_feed_.MakeInputs(registry, table->table, state, load, now);
  });
  control_->Post(DutyInputsEvent{std::move(inputs)});
}

void Daemon::SendUsage(const VmId& to, const UsageForward& forward) {
  PeerMessage message;
  message.channel = PeerChannel::kUsage;
  message.payload = PackBytes(forward);
  // What is not acknowledged is forwarded again.
  message.replaceable = true;
  SendTo(to, std::move(message));
}

void Daemon::CallProvider(const ProviderCall& call) {
  if (provider_sender_ == nullptr) {
    LogEvent("provider_unknown", LogLevel::kError);
    control_->Post(ProviderCallEndedEvent{call.id, ProviderOutcome::kNotSent});
    return;
  }
  provider_sender_->Call(call);
}

void Daemon::RemoveUnreachablePeers(MonoTime now) {
  for (const PeerStats& peer : peers_->Stats()) {
    if (peer.outbound_connected) {
      unreachable_since_.erase(peer.vm);
      continue;
    }
    const auto since = unreachable_since_.emplace(peer.vm, now).first;
    if (now - since->second >= kPeerRemovalDelay) {
      LogEvent("peer_forgotten").Add("peer", peer.vm);
      peers_->RemovePeer(peer.vm);
      unreachable_since_.erase(since);
    }
  }
}

}  // namespace camphorsail
