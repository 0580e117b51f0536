#include "camphorsail/membership/server_tracking_cost.h"

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/msgpack_unpack.h"
#include "camphorsail/base/random.h"
#include "camphorsail/membership/relay_plan.h"
#include "camphorsail/membership/server_registry.h"
#include "camphorsail/membership/server_subset.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

/// Largest number of daemons that form a full mesh.
constexpr int kMaxMeshDaemons = 16;
/// Simulated time, in seconds.
constexpr int kSimulatedSeconds = 20;
constexpr int kTicksPerSecond = 10;
/// Interval between two digest comparisons, in seconds.
constexpr int kDigestIntervalSeconds = 5;
/// Size of an HTTP/2 frame header, in bytes.
constexpr double kFrameHeaderBytes = 9;
constexpr int kModelCount = 10;
/// Each server restarts every 2.4 hours on average. This is ten times the
/// expected rate of one restart a day, so that a run of 20 s contains restarts
/// even with a small fleet.
constexpr double kRestartsPerServerPerSecond = 1.0 / 8640;
/// Number of daemons that are simulated in each region with relays. All daemons
/// of a region get the same kind of messages, so the mean of these represents
/// the others.
constexpr int kSampledDaemonsPerRegion = 8;
/// Number of servers that a daemon uses for each target.
constexpr size_t kSubsetSize = 32;

/// @return Processor time of the calling thread, in nanoseconds.
int64_t ThreadCpuNanos() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
}

template <typename T>
T Decode(const std::string& bytes) {
  return UnpackBounded(bytes).get().as<T>();
}

/// A simulated daemon or relay with its registry and its measured cost.
struct Node {
  Node(VmId id, std::string region_name, bool relay)
      : vm(std::move(id)),
        region(std::move(region_name)),
        registry(ServerRegistrySettings{
            .vm = vm,
            .silence_limit = relay ? absl::Seconds(2) : absl::Seconds(3),
            .relay = relay}) {}

  VmId vm;
  std::string region;
  ServerRegistry registry;
  std::vector<BackendServerId> subset;
  /// Bytes sent to and received from other nodes.
  double bytes = 0;
  /// Messages sent to and received from other nodes.
  double messages = 0;
  /// Bytes of announcements received from servers.
  double announcement_bytes = 0;
  /// Processor time, in nanoseconds.
  int64_t cpu_nanos = 0;

  /// Adds `copies` copies of a message that the node sent or received.
  void CountMessage(const std::string& message, double copies) {
    bytes += copies * (static_cast<double>(message.size()) + kFrameHeaderBytes);
    messages += copies;
  }
};

/// Adds the processor time that the thread uses during this object's lifetime
/// to a node.
class ScopedCpuTimer {
 public:
  explicit ScopedCpuTimer(Node* node) : node_(node), start_(ThreadCpuNanos()) {}
  ScopedCpuTimer(const ScopedCpuTimer&) = delete;
  ScopedCpuTimer& operator=(const ScopedCpuTimer&) = delete;
  ~ScopedCpuTimer() { node_->cpu_nanos += ThreadCpuNanos() - start_; }

 private:
  Node* node_;
  int64_t start_;
};

/// One simulation of a fleet.
class CostSimulation {
 public:
  CostSimulation(int daemons, int servers)
      : mesh_(daemons <= kMaxMeshDaemons), random_(20261204) {
    const int regions = mesh_ ? 1 : 2;
    // About 70 daemons for each relay, and at least two relays in each region.
    const int relays = mesh_ ? 0 : std::max(2, daemons / regions / 70);
    std::vector<VmRegistration> vms;
    for (int r = 0; r < regions; ++r) {
      const std::string region = absl::StrCat("region-", r);
      for (int i = 0; i < relays; ++i) {
        VmRegistration vm;
        vm.vm = VmId(absl::StrCat("relay-", r, "-", i));
        vm.failure_domain = FailureDomainId(absl::StrCat("domain-", i % 4));
        vm.region = region;
        vm.entry = false;
        vm.relay = true;
        vms.push_back(vm);
        relays_.emplace_back(vm.vm, region, true);
      }
    }
    for (int i = 0; i < daemons; ++i) {
      VmRegistration vm;
      vm.vm = VmId(absl::StrCat("vm-", i));
      vm.failure_domain = FailureDomainId(absl::StrCat("domain-", i % 4));
      vm.region = absl::StrCat("region-", i % regions);
      vms.push_back(vm);
      if (mesh_ || i / regions < kSampledDaemonsPerRegion) {
        daemons_.emplace_back(vm.vm, vm.region, false);
      }
    }
    daemons_per_sample_ =
        static_cast<double>(daemons) / static_cast<double>(daemons_.size());
    plan_.emplace_back(vms);
    for (int i = 0; i < servers; ++i) {
      ServerAnnouncement server;
      server.server = BackendServerId(absl::StrCat("engine-", i));
      server.version.incarnation = Incarnation(1);
      server.description.address =
          absl::StrCat("10.0.", i / 250, ".", i % 250, ":8000");
      server.description.failure_domain =
          FailureDomainId(absl::StrCat("domain-", i % 4));
      server.description.region = absl::StrCat("region-", i % regions);
      server.description.targets = {
          ModelId(absl::StrCat("model-", i % kModelCount))};
      server.description.capacity = 64;
      servers_.push_back(std::move(server));
    }
  }

  ServerTrackingCost Run() {
    for (int tick = 0; tick < kSimulatedSeconds * kTicksPerSecond; ++tick) {
      // During the first second the views fill, so it is not counted.
      if (tick == kTicksPerSecond) {
        ResetCounts();
      }
      now_ = MonoTime::FromNanos(1'000'000'000) +
             absl::Milliseconds(tick * 1000 / kTicksPerSecond);
      Announce(tick);
      if (mesh_) {
        ForwardInMesh(tick);
      } else {
        ForwardByRelays(tick);
      }
      for (Node& daemon : daemons_) {
        ChooseServers(&daemon);
      }
    }
    return Result();
  }

 private:
  void ResetCounts() {
    for (auto* nodes : {&daemons_, &relays_}) {
      for (Node& node : *nodes) {
        node.bytes = node.messages = node.announcement_bytes = 0;
        node.cpu_nanos = 0;
      }
    }
  }

  /// Delivers announcements to the registries. In each tick, a tenth of the
  /// servers announce.
  void Announce(int tick) {
    auto& receivers = mesh_ ? daemons_ : relays_;
    for (size_t i = 0; i < servers_.size(); ++i) {
      if (static_cast<int>(i % kTicksPerSecond) != tick % kTicksPerSecond) {
        continue;
      }
      ServerAnnouncement& server = servers_[i];
      auto& version = server.version;
      if (random_.Uniform() < kRestartsPerServerPerSecond) {
        version.incarnation = Incarnation(version.incarnation.value() + 1);
        version.sequence = AnnouncementSequence(0);
      }
      version.sequence = AnnouncementSequence(version.sequence.value() + 1);
      server.load.running = static_cast<int>(random_.Below(64));
      server.load.waiting = static_cast<int>(random_.Below(16));
      server.load.kv_permille = static_cast<int>(random_.Below(1000));
      const std::string body = RenderServerAnnouncement(server).dump();
      for (const VmId& vm : plan_[0].ReceiversForServer(
               server.server, server.description.region)) {
        for (Node& node : receivers) {
          if (node.vm == vm) {
            const ScopedCpuTimer scope(&node);
            node.announcement_bytes += static_cast<double>(body.size());
            const auto parsed =
                ParseServerAnnouncement(nlohmann::json::parse(body));
            if (parsed) {
              (void)node.registry.OnAnnouncement(*parsed, now_);
            }
          }
        }
      }
    }
  }

  /// Sends the deltas of each node to all other nodes of its region.
  void ForwardDeltas(std::vector<Node>* nodes) {
    for (Node& from : *nodes) {
      std::string message;
      {
        const ScopedCpuTimer scope(&from);
        const ServerDeltaBatch batch = from.registry.TakeDeltas(now_);
        if (batch.empty()) {
          continue;
        }
        message = PackBytes(batch);
      }
      for (Node& to : *nodes) {
        if (&to != &from && to.region == from.region) {
          from.CountMessage(message, 1);
          to.CountMessage(message, 1);
          const ScopedCpuTimer scope(&to);
          to.registry.OnDeltas(Decode<ServerDeltaBatch>(message), now_);
        }
      }
    }
  }

  /// Lets each node compare its view with that of one other node, which differs
  /// from round to round.
  void CompareDigests(std::vector<Node>* nodes, int round) {
    for (size_t i = 0; i < nodes->size(); ++i) {
      Node& from = (*nodes)[i];
      Node& to = (*nodes)[(i + 1 +
                           static_cast<size_t>(round) %
                               std::max<size_t>(nodes->size() - 1, 1)) %
                          nodes->size()];
      if (&from == &to || from.region != to.region) {
        continue;
      }
      const std::string digest = PackBytes(from.registry.Digest());
      from.CountMessage(digest, 1);
      to.CountMessage(digest, 1);
      const ScopedCpuTimer scope(&to);
      const ServerDeltaBatch repair =
          to.registry.OnDigest(Decode<RegistryDigest>(digest), now_);
      if (!repair.empty()) {
        const std::string message = PackBytes(repair);
        from.CountMessage(message, 1);
        to.CountMessage(message, 1);
        from.registry.OnDeltas(Decode<ServerDeltaBatch>(message), now_);
      }
    }
  }

  /// Runs one tick of a fleet whose daemons form a full mesh.
  void ForwardInMesh(int tick) {
    ForwardDeltas(&daemons_);
    if (tick % (kDigestIntervalSeconds * kTicksPerSecond) == 0) {
      CompareDigests(&daemons_,
                     tick / (kDigestIntervalSeconds * kTicksPerSecond));
    }
  }

  /// Runs one tick of a fleet with relays: the relays exchange deltas and
  /// digests, and send changes and heartbeats to their daemons.
  void ForwardByRelays(int tick) {
    ForwardDeltas(&relays_);
    if (tick % (kDigestIntervalSeconds * kTicksPerSecond) == 0) {
      CompareDigests(&relays_,
                     tick / (kDigestIntervalSeconds * kTicksPerSecond));
    }
    const bool heartbeat = tick % kTicksPerSecond == kTicksPerSecond - 1;
    for (Node& relay : relays_) {
      std::string changes;
      std::string with_summary;
      std::string without_summary;
      {
        const ScopedCpuTimer scope(&relay);
        if (const auto batch = relay.registry.TakeRelayChanges(now_)) {
          changes = PackBytes(*batch);
        }
        if (heartbeat) {
          with_summary = PackBytes(relay.registry.Heartbeat(true, now_));
          without_summary = PackBytes(relay.registry.Heartbeat(false, now_));
        }
      }
      for (Node& daemon : daemons_) {
        const auto chosen = plan_[0].RelaysForDaemon(daemon.vm, daemon.region);
        const auto position = std::find(chosen.begin(), chosen.end(), relay.vm);
        if (position == chosen.end()) {
          continue;
        }
        if (!changes.empty()) {
          DeliverChanges(changes, &relay, &daemon);
        }
        if (heartbeat) {
          const std::string& message =
              position == chosen.begin() ? with_summary : without_summary;
          relay.CountMessage(message, daemons_per_sample_);
          daemon.CountMessage(message, 1);
          const ScopedCpuTimer scope(&daemon);
          if (!daemon.registry.OnRelayHeartbeat(Decode<RelayHeartbeat>(message),
                                                now_)) {
            DeliverChanges(PackBytes(relay.registry.WholeView(now_)), &relay,
                           &daemon);
          }
        }
      }
    }
  }

  /// Delivers encoded changes from a relay to a daemon.
  void DeliverChanges(const std::string& changes, Node* relay, Node* daemon) {
    relay->CountMessage(changes, daemons_per_sample_);
    daemon->CountMessage(changes, 1);
    const ScopedCpuTimer scope(daemon);
    daemon->registry.OnRelayChanges(Decode<RelayChanges>(changes), now_);
  }

  /// Does the work that changed servers cause on a daemon: takes the changes
  /// for the scheduler and, when there are any, chooses the servers of each
  /// target again. In a small mesh the daemon uses all servers and chooses
  /// none.
  void ChooseServers(Node* daemon) {
    const ScopedCpuTimer scope(daemon);
    const size_t before = daemon->registry.entries().size();
    const auto changes = daemon->registry.TakeChanges(now_);
    if (mesh_ && before <= kSubsetSize * kModelCount) {
      return;
    }
    if (changes.views.empty() && changes.removed.empty()) {
      return;
    }
    std::map<ModelId, std::vector<ServerCandidate>> candidates;
    for (const auto& [id, entry] : daemon->registry.entries()) {
      if (entry.was_available) {
        const ServerDescription& description = entry.announcement.description;
        for (const ModelId& target : description.targets) {
          candidates[target].push_back(
              {id, description.failure_domain, double(description.capacity)});
        }
      }
    }
    const ServerSubset subset(daemon->vm, kSubsetSize);
    daemon->subset.clear();
    for (const auto& [target, list] : candidates) {
      const auto chosen = subset.Choose(list);
      daemon->subset.insert(daemon->subset.end(), chosen.begin(), chosen.end());
    }
  }

  ServerTrackingCost Result() const {
    ServerTrackingCost cost;
    const double seconds = kSimulatedSeconds - 1;
    const auto count = static_cast<double>(daemons_.size());
    for (const Node& node : daemons_) {
      cost.bytes_per_s += node.bytes / seconds / count;
      cost.max_bytes_per_s =
          std::max(cost.max_bytes_per_s, node.bytes / seconds);
      cost.messages_per_s += node.messages / seconds / count;
      cost.announcement_bytes_per_s +=
          node.announcement_bytes / seconds / count;
      cost.cpu_ratio +=
          static_cast<double>(node.cpu_nanos) * 1e-9 / seconds / count;
      cost.known_servers =
          std::max(cost.known_servers, node.registry.entries().size());
      cost.used_servers =
          std::max(cost.used_servers, node.subset.empty()
                                          ? node.registry.entries().size()
                                          : node.subset.size());
    }
    cost.relays = static_cast<int>(relays_.size());
    for (const Node& node : relays_) {
      const auto relays = static_cast<double>(relays_.size());
      cost.relay_bytes_per_s += node.bytes / seconds / relays;
      cost.relay_cpu_ratio +=
          static_cast<double>(node.cpu_nanos) * 1e-9 / seconds / relays;
    }
    return cost;
  }

  /// True when the daemons form a full mesh without relays.
  const bool mesh_;
  /// Number of daemons that each simulated daemon represents. Messages that a
  /// relay sends to a simulated daemon are counted this many times.
  double daemons_per_sample_ = 1;
  Random random_;
  MonoTime now_;
  /// Exactly one plan; a vector, because the plan is made after the other
  /// members.
  std::vector<RelayPlan> plan_;
  std::vector<ServerAnnouncement> servers_;
  std::vector<Node> daemons_;
  std::vector<Node> relays_;
};

}  // namespace

ServerTrackingCost SimulateServerTracking(int daemons, int servers) {
  ServerTrackingCost cost = CostSimulation(daemons, servers).Run();
  cost.daemons = daemons;
  cost.servers = servers;
  return cost;
}

}  // namespace camphorsail
