#include "camphorsail/runtime/daemon.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/secret_equal.h"
#include "camphorsail/base/wall_clock.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "camphorsail/runtime/ledger_bridge.h"
#include "camphorsail/runtime/load_digest_codec.h"
#include "camphorsail/runtime/random_seed.h"

namespace camphorsail {
namespace {

/// Payload on the command channel that requests a graceful stop of the
/// receiver.
constexpr std::string_view kDrainCommand = "drain";
constexpr size_t kTimelineEvents = 64 * 1024;
constexpr absl::Duration kDirectoryTick = absl::Milliseconds(100);

// The start time in the high bits separates the ids of successive starts. The
// random bits separate the ids of VMs that start in the same millisecond.
RequestId FirstRequestId() {
  const auto start = static_cast<uint64_t>(absl::ToUnixMillis(WallNow()));
  return RequestId((start << 23) | ((RandomSeed() & 0x7) << 20));
}

// Routing tables are large compared with other commands. A restart has to read
// at most this many bytes of the log again, and a follower that lacks more is
// sent the snapshot.
constexpr size_t kSnapshotAfterBytes = 256 << 10;
constexpr size_t kRetainedEntries = 16;
// Tick period without the entry role, when only the directory needs ticks.
constexpr absl::Duration kIdleTick = absl::Milliseconds(100);

/// @return The seeds, without this daemon.
std::vector<PeerAddress> SeedPeers(const Options& options) {
  std::vector<PeerAddress> peers;
  for (const NetworkAddress& seed : options.seeds) {
    if (seed.ip != options.peer_listen.ip) {
      peers.push_back({VmId(seed.ip), {seed.ip, options.peer_listen.port}});
    }
  }
  return peers;
}

std::vector<VmId> PeerIds(const Options& options) {
  std::vector<VmId> ids;
  for (const PeerAddress& peer : options.peers) {
    ids.push_back(peer.vm);
  }
  return ids;
}

SchedulerSettings MakeSchedulerSettings(const Options& options) {
  SchedulerSettings settings;
  settings.vm = options.vm;
  settings.failure_domain = options.failure_domain;
  settings.seed = RandomSeed();
  settings.vm_count = static_cast<int>(options.peers.size()) + 1;
  return settings;
}

ServerRegistrySettings MakeRegistrySettings(const Options& options) {
  ServerRegistrySettings settings;
  settings.vm = options.vm;
  return settings;
}

ControlNodeSettings MakeControlSettings(const Options& options) {
  ControlNodeSettings settings;
  settings.replica.vm = options.vm;
  settings.replica.failure_domain = options.failure_domain;
  std::vector<VmId> vms = PeerIds(options);
  vms.push_back(options.vm);
  std::sort(vms.begin(), vms.end());
  // More voters would make each commit slower, while the number of failure
  // domains still limits how many failures the group survives.
  constexpr size_t kDefaultVoters = 7;
  const size_t voters = options.initial_voters > 0
                            ? static_cast<size_t>(options.initial_voters)
                            : kDefaultVoters;
  vms.resize(std::min(vms.size(), voters));
  settings.replica.voter_vms = std::move(vms);
  if (!options.seeds.empty()) {
    settings.replica.voter_vms.clear();
    for (const NetworkAddress& seed : options.seeds) {
      settings.replica.voter_vms.push_back(VmId(seed.ip));
    }
    settings.replica.may_bootstrap_group = options.may_bootstrap_group;
    // A majority of the voters must remain after these losses.
    settings.replica.target_voters =
        2 * static_cast<size_t>(options.tolerated_losses) + 1;
    settings.replica.admission_lease = options.roles.entry;
    settings.replica.snapshot_after_bytes = kSnapshotAfterBytes;
    settings.replica.retained_entries = kRetainedEntries;
  }
  settings.duties.reports_usage = options.provider_duties.usage;
  settings.duties.orders_servers = options.provider_duties.server_orders;
  settings.duties.lease = options.duty_lease;
  settings.duties.provider_checks_tokens = options.provider_checks_fencing;
  settings.duties.provider_calls_per_s = options.provider_calls_per_s;
  settings.registration.vm = options.vm;
  settings.registration.incarnation =
      Incarnation(static_cast<uint64_t>(absl::ToUnixMicros(WallNow())));
  settings.registration.failure_domain = options.failure_domain;
  settings.registration.region = options.region;
  settings.registration.peer_address = ToString(options.peer_listen);
  settings.registration.entry = options.roles.entry;
  settings.registration.replica = options.roles.replica;
  settings.registration.relay = options.roles.relay;
  return settings;
}

}  // namespace

Daemon::Daemon(const Options& options, const ProviderDialect& provider)
    : options_(options),
      timeline_(kTimelineEvents),
      telemetry_(options.vm, &clock_, &timeline_, &metrics_),
      scheduler_(*Scheduler::Create(MakeSchedulerSettings(options))),
      directory_(MakeRegistrySettings(options), MakeDirectoryHooks()),
      collector_(&timeline_,
                 PeerIds(options),
                 [this](const VmId& to, std::string payload) {
                   PeerMessage message;
                   message.channel = PeerChannel::kTimeline;
                   message.payload = std::move(payload);
                   return peers_->Send(to, std::move(message)) ==
                          PeerSendResult::kQueued;
                 }),
      provider_dialect_(provider),
      duty_feed_(options),
      gateways_({[this](ControlRuntime::CurrentCallback callback) {
                   control_->WhenCurrent(std::move(callback));
                 },
                 [this](const VmId& gateway, const GatewayUpdate& update) {
                   PeerMessage message;
                   message.channel = PeerChannel::kGatewayUpdate;
                   message.payload = PackBytes(update);
                   SendTo(gateway, std::move(message));
                 },
                 [] { return MonotonicNow(); },
                 [this] {
                   return duty_feed_.CountsUsage()
                              ? absl::ToUnixMicros(
                                    duty_feed_.TrueTime(MonotonicNow()))
                              : 0;
                 }}) {
  if (options_.provider_duties.usage ||
      options_.provider_duties.server_orders) {
    duty_metrics_ = std::make_unique<DutyMetrics>(&metrics_);
  }
  SetLogClock([this](absl::Time now) { return clock_.Now(now); });
}

Expected<std::unique_ptr<Daemon>> Daemon::Create(
    const Options& options,
    const ProviderDialect& provider) {
  if (Expected<void> valid = MakeSchedulerSettings(options).Validate();
      !valid) {
    return tl::unexpected<Error>(valid.error());
  }
  std::unique_ptr<Daemon> daemon(new Daemon(options, provider));
  if (options.roles.entry) {
    EntryShardSettings shard_settings;
    shard_settings.body_timeout = options.body_timeout;
    daemon->entry_ = std::make_unique<EntryRuntime<Scheduler>>(
        shard_settings, static_cast<size_t>(options.shards), FirstRequestId(),
        &daemon->scheduler_, daemon->MakeEntryHooks());
  }
  for (Expected<void> (Daemon::*start)() :
       {&Daemon::StartControl, &Daemon::StartPeers, &Daemon::StartListeners}) {
    if (Expected<void> started = (daemon.get()->*start)(); !started) {
      return tl::unexpected<Error>(started.error());
    }
  }
  Daemon* raw = daemon.get();
  daemon->tick_thread_ = std::thread([raw] { raw->RunTicks(); });
  return daemon;
}

Daemon::~Daemon() {
  stopping_ = true;
  tick_waker_.Wake();
  if (tick_thread_.joinable()) {
    tick_thread_.join();
  }
  // Threads that call other components stop before these components. The
  // control path stops before the listeners and answers all waiting calls, so
  // that joining a listener's workers does not take until their calls time out.
  callers_.reset();
  if (peers_ != nullptr) {
    peers_->Stop();
  }
  if (control_ != nullptr) {
    control_->Stop();
  }
  platform_.reset();
  metrics_server_.reset();
  operators_.reset();
  announcements_.reset();
  order_sender_.reset();
  provider_sender_.reset();
  SetLogClock({});
}

Expected<void> Daemon::StartControl() {
  // The control thread, which uses `order_sender_`, starts later.
  order_sender_ = std::make_unique<OrderSender>(
      [this](const BackendServerId& server, Incarnation incarnation) {
        return directory_.Resolve(server, incarnation);
      },
      [this](EngineCallResultEvent result) {
        control_->Post(std::move(result));
      });
  if (options_.provider.port != 0 &&
      provider_dialect_.write_request != nullptr) {
    provider_sender_ = std::make_unique<ProviderSender>(
        options_.provider, provider_dialect_,
        [this](const ProviderCall& call, ProviderOutcome outcome) {
          if (duty_metrics_ != nullptr) {
            duty_metrics_->OnCallEnded(call, outcome);
          }
          duty_feed_.OnCallEnded(call, outcome, MonotonicNow());
          control_->Post(ProviderCallEndedEvent{call.id, outcome});
        });
  }
  Expected<std::unique_ptr<ControlRuntime>> control = ControlRuntime::Create(
      MakeControlSettings(options_), options_.data_folder, RandomSeed(),
      MakeControlHooks());
  if (!control) {
    return tl::unexpected<Error>(control.error());
  }
  control_ = *std::move(control);
  return {};
}

Expected<void> Daemon::StartPeers() {
  PeerTransportSettings settings;
  settings.vm = options_.vm;
  settings.listen = options_.peer_listen;
  settings.peers = options_.peers;
  if (!options_.seeds.empty()) {
    settings.peers = SeedPeers(options_);
    settings.accept_unlisted_peers = true;
  }
  settings.secret = options_.peer_secret;
  Expected<std::unique_ptr<PeerTransport>> peers = PeerTransport::Create(
      std::move(settings), &clock_,
      [this](const VmId& from, PeerMessage message) {
        OnPeerMessage(from, std::move(message));
      },
      [this](const VmId& /*peer*/, bool connected) {
        if (connected) {
          directory_.RequestDigest();
        }
      });
  if (!peers) {
    return tl::unexpected<Error>(peers.error());
  }
  peers_ = *std::move(peers);
  control_->Start();
  return {};
}

EntryRuntimeHooks Daemon::MakeEntryHooks() {
  EntryRuntimeHooks hooks;
  hooks.ledger_open = [this](const LedgerOpenAction& action) {
    control_->Post(
        LedgerOpenEvent{MakeLedgerOpen(action, options_.vm, WallNow())});
  };
  hooks.ledger_close = [this](const LedgerCloseAction& action) {
    if (std::optional<LedgerClose> close = MakeLedgerClose(action)) {
      control_->Post(LedgerCloseEvent{*std::move(close)});
    }
  };
  hooks.record_refusal = [this](const RecordRefusalAction& action) {
    telemetry_.Record(action);
    if (GetErrorTraits(action.kind).counts_as_refused) {
      control_->Post(
          RefusalEvent{action.account, action.class_id, action.kind});
    }
  };
  hooks.timeline = [this](const TimelineAction& action) {
    telemetry_.Record(action);
  };
  hooks.share_digest = [this](const LoadDigest& digest) {
    SendToPeers(PeerChannel::kLoadDigest, EncodeLoadDigest(digest), false);
  };
  hooks.resolve = [this](const BackendServerId& server,
                         Incarnation incarnation) {
    return directory_.Resolve(server, incarnation);
  };
  return hooks;
}

ControlRuntimeHooks Daemon::MakeControlHooks() {
  ControlRuntimeHooks hooks;
  hooks.publish_settings = [this](const Ref<EffectiveSettings>& snapshot) {
    if (entry_ != nullptr) {
      entry_->StepAll(EffectiveSettingsEvent{snapshot});
    }
    if (snapshot->settings_version == settings_in_force_) {
      return;
    }
    settings_in_force_ = snapshot->settings_version;
    telemetry_.Record(
        "settings_in_force",
        {{"version", absl::StrCat(snapshot->settings_version.value())}});
  };
  hooks.publish_lease = [this](MonoTime valid_until) {
    if (entry_ != nullptr) {
      entry_->StepAll(LeaseEvent{valid_until});
    }
  };
  hooks.publish_limits = [this](const PublishLimitsAction& action) {
    if (entry_ != nullptr) {
      entry_->limits().OnGrants(action.grants, action.report_sent_at,
                                MonotonicNow());
    }
  };
  hooks.send = [this](const VmId& to, const ControlMessage& message) {
    PeerMessage peer_message;
    peer_message.channel = PeerChannel::kConsensus;
    peer_message.payload = EncodeControlMessage(message);
    SendTo(to, std::move(peer_message));
  };
  hooks.publish_routing = [this](const Ref<SharedRoutingTable>& table) {
    if (table->table.version > 0) {
      LogEvent("routing_in_force")
          .Add("version", table->table.version)
          .Add("routes", table->table.routes.size())
          .Add("accounts", table->table.accounts.size());
      directory_.SetServices(table->table.services, MonotonicNow());
      gateways_.OnTable(table);
    }
  };
  hooks.publish_departures = [this](const PublishDeparturesAction& action) {
    directory_.OnDepartures(action.departures, WallNow(), MonotonicNow());
  };
  hooks.ledger_answer = [this](const LedgerOpenAnsweredAction& action) {
    entry_->Post(action.request, MakeLedgerAnswer(action));
  };
  hooks.call_engine = [this](const EngineCallAction& action) {
    order_sender_->Call(action);
  };
  hooks.call_provider = [this](const ProviderCallAction& action) {
    CallProvider(action.call);
  };
  hooks.note = [this](const ControlTimelineAction& action) {
    telemetry_.Record(action.kind, action.inputs);
  };
  hooks.storage_failed = [this](const Error& error) {
    LogEvent("storage_failed", LogLevel::kError).Add("message", error.message);
    stop_requested_ = true;
  };
  return hooks;
}

ServerDirectory::Hooks Daemon::MakeDirectoryHooks() {
  ServerDirectory::Hooks hooks;
  hooks.on_changes = [this](const ServerRegistry::Changes& changes) {
    ApplyServerChanges(changes);
  };
  hooks.on_targets = [this](const TargetsEvent& targets) {
    if (entry_ != nullptr) {
      entry_->StepAll(targets);
    }
  };
  hooks.send_deltas = [this](const ServerDeltaBatch& deltas) {
    SendToPeers(PeerChannel::kServerDelta, PackBytes(deltas), false);
  };
  hooks.send_digest = [this](const RegistryDigest& digest) {
    SendToPeers(PeerChannel::kServerDigest, PackBytes(digest), true);
  };
  return hooks;
}

AdminApi::Dependencies Daemon::MakeAdminParts() {
  AdminApi::Dependencies parts;
  parts.options = &options_;
  parts.control = control_.get();
  parts.directory = &directory_;
  parts.collector = &collector_;
  parts.peers = peers_.get();
  parts.crash_records = [this] { return gateways_.CrashRecords(); };
  parts.is_ready = [this] { return IsReady(); };
  parts.drain = [this](const VmId& vm) { return RequestDrain(vm); };
  return parts;
}

void Daemon::OnPeerMessage(const VmId& from, PeerMessage message) {
  const MonoTime now = MonotonicNow();
  switch (message.channel) {
    case PeerChannel::kConsensus: {
      Expected<ControlMessage> decoded = DecodeControlMessage(message.payload);
      if (decoded) {
        control_->Post(ControlMessageEvent{from, *std::move(decoded)});
      }
      return;
    }
    case PeerChannel::kServerDelta: {
      if (const auto deltas = UnpackBytes<ServerDeltaBatch>(message.payload)) {
        directory_.OnDeltas(*deltas, now);
      }
      return;
    }
    case PeerChannel::kServerDigest: {
      const auto digest = UnpackBytes<RegistryDigest>(message.payload);
      if (!digest) {
        return;
      }
      const ServerDeltaBatch missing = directory_.OnDigest(*digest, now);
      if (!missing.empty()) {
        PeerMessage answer;
        answer.channel = PeerChannel::kServerDelta;
        answer.payload = PackBytes(missing);
        peers_->Send(from, std::move(answer));
      }
      return;
    }
    case PeerChannel::kLoadDigest: {
      Expected<LoadDigest> digest = DecodeLoadDigest(message.payload);
      if (digest) {
        scheduler_.OnPeerDigest(*digest, now);
      }
      return;
    }
    case PeerChannel::kCommand:
      if (message.payload == kDrainCommand) {
        stop_requested_ = true;
      }
      return;
    case PeerChannel::kGatewayPoll: {
      if (const auto poll = UnpackBytes<GatewayPoll>(message.payload)) {
        for (const RefusalReport& report : poll->refusals) {
          if (report.kind < kErrorKindCount) {
            control_->Post(RefusalEvent{report.account, report.class_id,
                                        static_cast<ErrorKind>(report.kind)});
          }
        }
        if (duty_feed_.CountsUsage()) {
          duty_feed_.OnGatewayUsage({from, ProcessOf(*poll), poll->usage}, now);
        }
        gateways_.OnPoll(from, *poll);
      }
      return;
    }
    case PeerChannel::kGatewayGroupLoad: {
      if (auto load = UnpackBytes<GatewayGroupLoad>(message.payload)) {
        if (load->wall_micros != 0) {
          duty_feed_.OnClock(from, absl::FromUnixMicros(load->wall_micros),
                             now);
        }
        gateways_.OnGroupLoad(from, *std::move(load));
      }
      return;
    }
    case PeerChannel::kUsage: {
      if (const auto forward = UnpackBytes<UsageForward>(message.payload)) {
        if (const auto answer = duty_feed_.OnForward(*forward, now)) {
          SendUsage(from, *answer);
        }
      }
      return;
    }
    case PeerChannel::kTimeline:
      collector_.OnMessage(from, message.payload);
      return;
    default:
      return;
  }
}

Expected<void> Daemon::RequestDrain(const VmId& vm) {
  if (vm == options_.vm) {
    stop_requested_ = true;
    return {};
  }
  PeerMessage message;
  message.channel = PeerChannel::kCommand;
  message.payload = std::string(kDrainCommand);
  switch (peers_->Send(vm, std::move(message))) {
    case PeerSendResult::kQueued:
      break;
    case PeerSendResult::kUnknownPeer:
      return Fail(ErrorKind::kNotFound,
                  absl::StrCat("unknown VM '", vm.value(), "'"));
    default:
      return Fail(ErrorKind::kNotReady,
                  absl::StrCat("VM '", vm.value(), "' cannot be reached"));
  }
  if (!peers_->IsConnected(vm)) {
    return Fail(ErrorKind::kNotReady,
                absl::StrCat("VM '", vm.value(), "' cannot be reached"));
  }
  return {};
}

void Daemon::SendToPeers(PeerChannel channel,
                         const std::string& payload,
                         bool replaceable) {
  std::vector<VmId> targets = PeerIds(options_);
  if (!options_.seeds.empty()) {
    // Unreachable peers are left out; digests later send them what they missed.
    for (const PeerStats& peer : peers_->Stats()) {
      if (peer.outbound_connected) {
        targets.push_back(peer.vm);
      }
    }
  }
  for (const VmId& vm : targets) {
    PeerMessage message;
    message.channel = channel;
    message.payload = payload;
    message.replaceable = replaceable;
    peers_->Send(vm, std::move(message));
  }
}

void Daemon::ApplyServerChanges(const ServerRegistry::Changes& changes) {
  const MonoTime now = MonotonicNow();
  std::vector<SchedulerAction> actions;
  for (const ServerView& view : changes.views) {
    scheduler_.OnServerView(view, now, &actions);
  }
  for (const BackendServerId& server : changes.removed) {
    telemetry_.Record("server_unavailable", {{"server", server.value()}});
    scheduler_.OnServerRemoved(server, now, &actions);
  }
  if (entry_ != nullptr) {
    entry_->RouteActions(std::move(actions));
  }
}

void Daemon::PostEngines(MonoTime now) {
  std::map<BackendServerId, EngineInfo> engines;
  directory_.Inspect([&](const ServerRegistry& registry) {
    for (const auto& [id, entry] : registry.entries()) {
      const ServerAnnouncement& announcement = entry.announcement;
      if (announcement.description.kind == ServerKind::kModelEngine &&
          registry.IsAvailable(id, now)) {
        engines[id] = {announcement.version.incarnation,
                       announcement.description.checks_fencing_tokens};
      }
    }
  });
  if (engines != posted_engines_) {
    posted_engines_ = engines;
    control_->Post(EnginesEvent{std::move(engines)});
  }
}

bool Daemon::IsReady() const {
  return !leaving_ && entry_ != nullptr && entry_->IsReady();
}

void Daemon::RunTicks() {
  MonoTime next_directory_tick = MonotonicNow();
  while (true) {
    tick_waker_.Wait(entry_ != nullptr ? options_.tick : kIdleTick);
    if (stopping_) {
      return;
    }
    const MonoTime now = MonotonicNow();
    if (now >= next_directory_tick) {
      next_directory_tick = now + kDirectoryTick;
      directory_.Tick(now);
      PostEngines(now);
      if (!options_.seeds.empty()) {
        RemoveUnreachablePeers(now);
        ShareGatewayLoad(now);
        StepDuties(now);
      }
    }
    if (entry_ == nullptr) {
      continue;
    }
    if (std::vector<LimitDemand> demands = entry_->limits().PollDemand(now);
        !demands.empty()) {
      control_->Post(LimitDemandEvent{std::move(demands)});
    }
    entry_->Tick();
  }
}

bool Daemon::Drain() {
  leaving_ = true;
  telemetry_.Record("drain_started", {});
  // Requests that the load balancer still sends during the delay are served.
  const MonoTime limit =
      MonotonicNow() + options_.drain_delay + options_.drain_timeout;
  bool complete = true;
  if (entry_ != nullptr) {
    absl::SleepFor(options_.drain_delay);
    entry_->StepAll(DrainEvent{});
    while (entry_->in_progress() > 0 && MonotonicNow() < limit) {
      absl::SleepFor(absl::Milliseconds(5));
    }
    complete = entry_->in_progress() == 0;
  }
  if (callers_ != nullptr) {
    // Complete answers may not have been sent to their callers yet.
    callers_->WaitUntilIdle(limit - MonotonicNow());
  }
  const bool recorded = control_->Leave();
  peers_->Flush(absl::Seconds(1));
  telemetry_.Record("drain_completed",
                    {{"requests_finished", complete ? "true" : "false"},
                     {"minutes_recorded", recorded ? "true" : "false"}});
  return complete;
}

}  // namespace camphorsail
