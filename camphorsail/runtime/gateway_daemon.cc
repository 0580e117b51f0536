#include "camphorsail/runtime/gateway_daemon.h"

#include <sys/epoll.h>

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/str_join.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/monotonic_clock.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/gateway/gateway_poll.h"
#include "camphorsail/process/log_event.h"
#include "camphorsail/process/logger.h"
#include "camphorsail/runtime/random_seed.h"

namespace camphorsail {
namespace {

/// Replicas also send each change of the routing table without a poll; polls
/// detect a lost change. The gateway sends several polls within the length of
/// its lease.
constexpr absl::Duration kPollInterval = absl::Milliseconds(250);
/// After this time without an answer, the gateway polls the next replica.
constexpr absl::Duration kReplicaTimeout = absl::Milliseconds(750);
constexpr absl::Duration kDigestInterval = absl::Seconds(2);
constexpr absl::Duration kRegistryTickInterval = absl::Milliseconds(250);
/// A server that no replica has heard from for this long gets no new requests.
/// The time is long because a server that cannot reach the replicas may still
/// serve, and because failed attempts suspend a server much sooner.
constexpr absl::Duration kServerSilenceLimit = absl::Seconds(10);
/// A gateway cannot serve without a replica, so it reconnects often.
constexpr absl::Duration kMaxReconnectPause = absl::Milliseconds(300);
/// Shorter than the time after which the kernel retransmits a lost SYN packet.
constexpr absl::Duration kHandshakeTimeout = absl::Milliseconds(500);
/// Largest part of the drain time in which requests are still accepted. The
/// rest is for those that have just arrived.
constexpr double kDrainAdmissionFraction = 1.0 / 3;
constexpr absl::Duration kDrainCheckInterval = absl::Milliseconds(50);
/// Part of the drain time that is reserved for the process to end.
constexpr absl::Duration kExitMargin = absl::Milliseconds(400);

GatewayRetryBudgetSettings MakeRetrySettings(const Options& options) {
  GatewayRetryBudgetSettings settings;
  settings.ratio = options.retry_ratio;
  settings.slack = options.retry_slack;
  settings.window = options.retry_window;
  return settings;
}

GatewaySettings MakeSettings(const Options& options) {
  GatewaySettings settings;
  settings.listen = options.gateway_listen;
  settings.ready_listen = options.ready_listen;
  settings.pool.source_ip = options.peer_listen.ip;
  settings.placement.failure_domain = options.failure_domain;
  settings.metrics_listen = options.metrics_listen;
  settings.callers = CallerBudgetSettings::For(options.memory_limit_bytes,
                                               options.descriptor_limit);
  settings.answers = AnswerBudgetSettings::For(options.memory_limit_bytes);
  settings.retries = MakeRetrySettings(options);
  settings.usage.window = options.usage_window;
  settings.paces_servers = options.server_pace;
  settings.usage.report_delay = options.usage_report_delay;
  settings.seed = RandomSeed();
  return settings;
}

ServerRegistrySettings MakeRegistrySettings(const Options& options) {
  ServerRegistrySettings settings;
  settings.vm = options.vm;
  settings.silence_limit = kServerSilenceLimit;
  return settings;
}

}  // namespace

GatewayDaemon::GatewayDaemon(const Options& options, const WireDialect& dialect)
    : options_(options),
      gateway_(MakeSettings(options), dialect, &loop_, &metrics_),
      registry_(MakeRegistrySettings(options)),
      // The high bits of a poll token identify this start, the low bits count
      // polls.
      process_(RandomSeed() & ~uint64_t{0xffffffff}),
      lease_(options.gateway_lease, process_) {
  gateway_.SetIdentity(options.vm, process_);
  SetLogClock([this](absl::Time now) { return clock_.Now(now); });
}

GatewayDaemon::~GatewayDaemon() {
  if (peers_ != nullptr) {
    peers_->Stop();
  }
  SetLogClock({});
}

Expected<std::unique_ptr<GatewayDaemon>> GatewayDaemon::Create(
    const Options& options,
    const WireDialect& dialect) {
  std::unique_ptr<GatewayDaemon> daemon(new GatewayDaemon(options, dialect));
  if (Expected<void> started = daemon->Start(); !started) {
    return tl::unexpected<Error>(started.error());
  }
  return daemon;
}

Expected<void> GatewayDaemon::Start() {
  PeerTransportSettings settings;
  settings.vm = options_.vm;
  settings.listen = options_.peer_listen;
  settings.secret = options_.peer_secret;
  settings.accept_unlisted_peers = true;
  settings.max_backoff = kMaxReconnectPause;
  settings.handshake_timeout = kHandshakeTimeout;
  Expected<std::unique_ptr<PeerTransport>> peers = PeerTransport::Create(
      std::move(settings), &clock_,
      [this](const VmId& from, PeerMessage message) {
        loop_.Post([this, from, message = std::move(message)] {
          OnPeerMessage(from, message);
        });
      },
      [this](const VmId& peer, bool connected) {
        if (connected) {
          loop_.Post([this, peer] {
            SendDigest(peer);
            if (peer == usage_replica_) {
              // The replica may have restarted without its counts.
              usage_replica_ = VmId();
            }
            if (!lease_.IsValid(loop_.now())) {
              SendPoll(peer);
            }
          });
        }
      });
  if (!peers) {
    return tl::unexpected<Error>(peers.error());
  }
  peers_ = *std::move(peers);
  std::vector<VmId> seeds;
  for (const NetworkAddress& seed : options_.seeds) {
    seeds.push_back(VmId(seed.ip));
  }
  UpdateReplicas(seeds);
  return gateway_.Start();
}

bool GatewayDaemon::Run(SignalWatcher* signals,
                        const SettingsReloader& reloader) {
  signals_ = signals;
  reloader_ = &reloader;
  const EventLoop::WatchId watch =
      loop_.Watch(signals->fd(), EPOLLIN, [this](uint32_t) {
        if (const int signal = signals_->Wait(absl::ZeroDuration())) {
          OnSignal(signal);
        }
      });
  Poll();
  TickRegistry();
  loop_.Run();
  loop_.Unwatch(watch);
  return all_requests_finished_;
}

void GatewayDaemon::UpdateReplicas(const std::vector<VmId>& replicas) {
  std::vector<VmId> sorted = replicas;
  const auto key = [this](const VmId& vm) {
    return MixBits(Fnv1a64(vm.value()) ^ Fnv1a64(options_.vm.value()));
  };
  std::sort(sorted.begin(), sorted.end(),
            [&](const VmId& a, const VmId& b) { return key(a) < key(b); });
  // A VM that lost its disk is listed as two replicas until the old one is
  // removed.
  sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
  if (sorted == replicas_ || sorted.empty()) {
    return;
  }
  for (const VmId& vm : replicas_) {
    if (std::find(sorted.begin(), sorted.end(), vm) == sorted.end()) {
      peers_->RemovePeer(vm);
    }
  }
  for (const VmId& vm : sorted) {
    if (const Expected<void> added =
            peers_->AddPeer({vm, {vm.value(), options_.peer_listen.port}});
        !added) {
      LogEvent("replica_address_invalid", LogLevel::kWarning)
          .Add("vm", vm)
          .Add("reason", added.error().message);
    }
  }
  replicas_ = std::move(sorted);
  polled_replica_ = 0;
  LogEvent("replicas_changed")
      .Add("replicas",
           absl::StrJoin(replicas_, ",", [](std::string* out, const VmId& vm) {
             out->append(vm.value());
           }));
}

void GatewayDaemon::Poll() {
  const MonoTime now = loop_.now();
  gateway_.AdvanceQuarantine();
  // The same replica is polled as long as it answers, so that the load of other
  // gateways that it returns does not include this gateway's load.
  if (now - last_answer_at_ >= kReplicaTimeout) {
    last_answer_at_ = now;
    ++polled_replica_;
  }
  for (size_t i = 0; i < replicas_.size(); ++i) {
    const VmId& replica = replicas_[(polled_replica_ + i) % replicas_.size()];
    if (peers_->IsConnected(replica)) {
      polled_replica_ = (polled_replica_ + i) % replicas_.size();
      SendPoll(replica);
      break;
    }
  }
  const bool valid = lease_.IsValid(now);
  if (valid != lease_was_valid_) {
    lease_was_valid_ = valid;
    LogEvent(valid ? LogEventName("lease_gained") : LogEventName("lease_lost"),
             valid ? LogLevel::kInfo : LogLevel::kWarning)
        .Add("table_version", table_version_);
  }
  loop_.RunAt(now + kPollInterval, [this] { Poll(); });
}

void GatewayDaemon::SendPoll(const VmId& to) {
  PeerMessage message;
  message.channel = PeerChannel::kGatewayPoll;
  const MonoTime now = loop_.now();
  const uint64_t token = lease_.OnPoll(now);
  message.payload = PackBytes(
      GatewayPoll{token, table_version_, gateway_.fleet().TakeLoads(now),
                  gateway_.Demand(), gateway_.refusals().Take(token),
                  gateway_.AdmissionStates(), gateway_.QuarantineState(),
                  TakeUsage(to, token), gateway_.TakeAccountWork(to)});
  message.replaceable = true;
  peers_->Send(to, std::move(message));
}

std::vector<UsageCount> GatewayDaemon::TakeUsage(const VmId& to,
                                                 uint64_t token) {
  UsageMeter& usage = gateway_.usage();
  if (std::exchange(usage_replica_, to) != to) {
    usage.ReportAll(gateway_.true_clock().At(loop_.now()));
  }
  for (const LateUsage::Item& dropped : usage.TakeDropped()) {
    LogEvent("usage_late", LogLevel::kWarning)
        .Add("window", dropped.window.value())
        .Add("account", dropped.usage.account)
        .Add("requests", dropped.usage.requests);
  }
  return usage.TakeReport(token);
}

void GatewayDaemon::SendDigest(const VmId& to) {
  PeerMessage message;
  message.channel = PeerChannel::kServerDigest;
  message.payload = PackBytes(registry_.Digest());
  message.replaceable = true;
  peers_->Send(to, std::move(message));
}

void GatewayDaemon::TickRegistry() {
  const MonoTime now = loop_.now();
  ApplyServerChanges();
  if (now >= next_digest_at_ && !replicas_.empty()) {
    next_digest_at_ = now + kDigestInterval;
    SendDigest(replicas_[next_digest_replica_++ % replicas_.size()]);
  }
  loop_.RunAt(now + kRegistryTickInterval, [this] { TickRegistry(); });
}

void GatewayDaemon::ApplyServerChanges() {
  const ServerRegistry::Changes changes = registry_.TakeChanges(loop_.now());
  gateway_.fleet().Apply(changes, registry_, loop_.now());
}

void GatewayDaemon::OnPeerMessage(const VmId& from,
                                  const PeerMessage& message) {
  switch (message.channel) {
    case PeerChannel::kServerDelta:
      if (const auto deltas = UnpackBytes<ServerDeltaBatch>(message.payload)) {
        registry_.OnDeltas(*deltas, loop_.now());
        ApplyServerChanges();
      }
      return;
    case PeerChannel::kGatewayUpdate:
      if (const auto update = UnpackBytes<GatewayUpdate>(message.payload)) {
        OnUpdate(from, *update);
      }
      return;
    default:
      // The other channels are used only between replicas.
      return;
  }
}

void GatewayDaemon::OnUpdate(const VmId& from, const GatewayUpdate& update) {
  TakeTable(update);
  if (!update.replicas.empty()) {
    UpdateReplicas(update.replicas);
    gateway_.SetGatewayCount(static_cast<int>(update.gateways));
  }
  if (update.token != 0) {
    last_answer_at_ = loop_.now();
    gateway_.refusals().OnAnswered(update.token);
    if (update.true_micros != 0) {
      gateway_.usage().OnAnswered(update.token);
      gateway_.OnTrueTime(from, absl::FromUnixMicros(update.true_micros));
    }
    gateway_.fleet().OnOtherGatewaysLoads(update.loads, loop_.now());
    gateway_.SetTotalDemand(update.demand);
    gateway_.OnAdmissionStates(update.admission);
    gateway_.OnFleetAccountWork(update.accounts);
    gateway_.OnQuarantineUpdate(update.quarantine, update.confirmed);
  }
  if (update.confirmed && update.table_version <= table_version_) {
    lease_.OnConfirmed(update.token);
    gateway_.SetLease(lease_.valid_until());
  } else if (update.token != 0) {
    LogEvent("poll_unconfirmed", LogLevel::kWarning)
        .Add("replica", from)
        .Add("table_version", update.table_version);
  }
}

void GatewayDaemon::TakeTable(const GatewayUpdate& update) {
  Ref<SharedRoutingTable> table = table_;
  if (!update.table.empty() && update.table.front().version > table_version_) {
    table = MakeRef<SharedRoutingTable>(update.table.front());
  }
  for (const RoutingTableDelta& delta : update.deltas) {
    if (!table || delta.base_version != table->table.version) {
      // Already applied, or sent for a table that did not arrive; the next poll
      // tells the replica which table this gateway has.
      continue;
    }
    Expected<RoutingTable> next = delta.ApplyTo(table->table);
    if (!next) {
      LogEvent("routing_delta_refused", LogLevel::kError)
          .Add("table_version", table_version_)
          .Add("version", delta.version)
          .Add("message", next.error().message);
      // Asks for the whole table. The current one stays in use for as long as
      // its lease is valid.
      table_version_ = 0;
      return;
    }
    table = MakeRef<SharedRoutingTable>(*std::move(next));
  }
  if (table && table != table_) {
    table_ = table;
    table_version_ = table->table.version;
    gateway_.SetTable(table);
  }
}

void GatewayDaemon::OnSignal(int signal) {
  if (signal == SIGHUP) {
    Reload();
    return;
  }
  if (std::exchange(draining_, true)) {
    return;
  }
  drain_started_at_ = loop_.now();
  LogEvent("daemon_draining").Add("signal", signal);
  const absl::Duration admission_time = std::min(
      options_.drain_delay, options_.drain_timeout * kDrainAdmissionFraction);
  gateway_.BeginDrain(admission_time);
  loop_.RunAt(drain_started_at_ + admission_time, [this] {
    gateway_.StopCallers();
    CheckDrained();
  });
}

void GatewayDaemon::Reload() {
  if (reloader_->Reload(&options_)) {
    lease_.SetLength(options_.gateway_lease);
    gateway_.SetRetrySettings(MakeRetrySettings(options_));
  }
}

void GatewayDaemon::CheckDrained() {
  const absl::Duration limit = options_.drain_timeout - kExitMargin;
  all_requests_finished_ = gateway_.IsIdle() && gateway_.AreAnswersTaken();
  const bool is_finished =
      all_requests_finished_ && gateway_.usage().IsReported();
  if (is_finished || loop_.now() - drain_started_at_ >= limit) {
    gateway_.EndDrain();
    // The last answers may not have been written yet.
    loop_.RunAt(loop_.now() + kDrainCheckInterval, [this] { loop_.Stop(); });
    return;
  }
  loop_.RunAt(loop_.now() + kDrainCheckInterval, [this] { CheckDrained(); });
}

}  // namespace camphorsail
