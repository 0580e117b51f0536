#include "bench/state_bench.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "bench/replica_group.h"
#include "camphorsail/membership/server_tracking_cost.h"
#include "nlohmann/json.hpp"
#include "tests/fakes/virtual_cluster.h"

namespace camphorsail {
namespace {

namespace fs = std::filesystem;

constexpr int kReplicas = 4;
/// About the size of a settings change with its operator and edits.
constexpr size_t kChangeBytes = 300;
constexpr int kInForceSeeds = 300;

/// Commit figures with a fixed number of changes in flight.
struct CommitFigures {
  double changes_per_s = 0;
  std::vector<double> commit_ms;
};

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name =
        (fs::temp_directory_path() / "state_bench_XXXXXX").string();
    if (mkdtemp(name.data()) != nullptr) {
      path_ = name;
    }
  }
  ~TemporaryFolder() {
    std::error_code error;
    fs::remove_all(path_, error);
  }
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q *
                                    static_cast<double>(values.size() - 1))];
}

bool MeasureCommits(size_t in_flight, size_t changes, CommitFigures* figures) {
  const TemporaryFolder folder;
  ReplicaGroup group(folder.path(), kReplicas);
  std::map<uint64_t, MonoTime> started;
  uint64_t next = 0;
  const auto propose = [&] {
    started[++next] = SteadyNow();
    group.Propose(next, std::string(kChangeBytes, 'x'));
  };
  bool warm = false;
  group.committed = [&](uint64_t id) {
    warm = true;
    figures->commit_ms.push_back(
        absl::ToDoubleMilliseconds(SteadyNow() - started[id]));
  };
  if (!group.RunUntil([&] { return group.HasLeader(); })) {
    return false;
  }
  propose();
  if (!group.RunUntil([&] { return warm; })) {
    return false;
  }
  figures->commit_ms.clear();
  const MonoTime begin = SteadyNow();
  const uint64_t first = next;
  const bool finished = group.RunUntil([&] {
    while (next - first < changes &&
           next - first - figures->commit_ms.size() < in_flight) {
      propose();
    }
    return figures->commit_ms.size() >= changes;
  });
  figures->changes_per_s =
      static_cast<double>(changes) / absl::ToDoubleSeconds(SteadyNow() - begin);
  return finished;
}

/// @return Seconds from opening the folder until every change is applied; below
///     zero on failure.
double MeasureRestart(uint64_t changes) {
  const TemporaryFolder folder;
  ReplicaSettings settings;
  settings.vm = VmId("0");
  settings.voter_vms = {settings.vm};
  const LogStoreSettings store_settings{folder.path().string()};
  {
    auto store = LogStore::Open(store_settings);
    if (!store.has_value()) {
      return -1;
    }
    const ReplicaId id = (*store)->TakeRecoveredState().replica;
    Membership membership;
    membership.members = {{id, settings.vm, {}, MemberKind::kVoter}};
    WriteBatch batch;
    batch.hard_state = HardState{TermNumber(1), id};
    batch.entries = {{TermNumber(1), LogIndex(1), EntryKind::kMembership, false,
                      membership.Encode()}};
    for (uint64_t i = 0; i <= changes; ++i) {
      batch.committed = LogIndex(i);
      if (!(*store)->Write(batch).has_value()) {
        return -1;
      }
      batch.hard_state.reset();
      batch.entries = {{TermNumber(1), LogIndex(i + 2), EntryKind::kData, true,
                        std::string(kChangeBytes, 'x')}};
    }
  }
  const MonoTime begin = SteadyNow();
  auto store = LogStore::Open(store_settings);
  if (!store.has_value()) {
    return -1;
  }
  auto replica =
      Replica::Create(settings, (*store)->TakeRecoveredState(), 1, SteadyNow());
  if (!replica.has_value()) {
    return -1;
  }
  std::vector<ReplicaAction> actions;
  (*replica)->Step(TickEvent{}, SteadyNow(), &actions);
  const double seconds = absl::ToDoubleSeconds(SteadyNow() - begin);
  size_t applied = 0;
  for (const ReplicaAction& action : actions) {
    if (const auto* apply = std::get_if<ApplyAction>(&action)) {
      applied += apply->entries.size();
    }
  }
  return applied >= changes ? seconds : -1;
}

/// @return Virtual seconds from the submission of a settings change until it is
///     committed and no VM admits without it; below zero on failure.
double MeasureInForce(uint64_t seed, bool partition) {
  VirtualClusterSettings settings;
  settings.replicas = kReplicas;
  settings.observers = 1;
  VirtualCluster cluster(settings, seed);
  Random random(seed);
  cluster.RunFor(absl::Seconds(5) + absl::Seconds(1) * random.Uniform());
  if (partition) {
    cluster.Isolate(
        static_cast<int>(random.Below(static_cast<uint64_t>(cluster.size()))),
        absl::Seconds(20));
    // The holder's lease has up to its whole length left.
    cluster.RunFor(absl::Milliseconds(1900) * random.Uniform());
  }
  const int64_t begin = cluster.now();
  const std::string data = "change";
  uint64_t proposal = 0;
  while (cluster.now() - begin < 20'000'000'000) {
    // The operator's client resends the change until it is accepted.
    const auto outcome = cluster.outcomes.find(proposal);
    const bool answered = outcome != cluster.outcomes.end();
    const bool accepted = answered && outcome->second.index.has_value();
    const int leader = cluster.Leader();
    if ((proposal == 0 || (answered && !accepted)) && leader >= 0) {
      proposal = cluster.Propose(leader, data, /*changes_settings=*/true);
    }
    if (accepted) {
      bool in_force = true;
      for (int i = 0; i < cluster.size(); ++i) {
        const std::vector<LogEntry> tail = cluster.node(i).IsRunning()
                                               ? cluster.Tail(i)
                                               : std::vector<LogEntry>();
        in_force &= !cluster.HasLease(i) ||
                    cluster.node(i).applied >= *outcome->second.index ||
                    std::any_of(tail.begin(), tail.end(),
                                [&](const auto& e) { return e.data == data; });
      }
      if (in_force) {
        return static_cast<double>(cluster.now() - begin) * 1e-9;
      }
    }
    cluster.RunFor(absl::Milliseconds(1));
  }
  return -1;
}

// Peak resident size of this process in MiB; includes all daemons that a
// measurement simulates, so it is an upper bound for one daemon.
double PeakResidentMib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024.0;
}

nlohmann::ordered_json MeasureControl() {
  constexpr std::pair<int, int> kSizes[] = {
      {4, 15}, {4, 150}, {50, 150}, {50, 1500}, {410, 150}, {410, 1500}};
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [daemons, servers] : kSizes) {
    const ServerTrackingCost cost = SimulateServerTracking(daemons, servers);
    rows.push_back({{"daemons", daemons},
                    {"servers", servers},
                    {"bytes_per_s", cost.bytes_per_s},
                    {"cpu_ratio", cost.cpu_ratio},
                    {"rss_mb", PeakResidentMib()},
                    {"messages_per_s", cost.messages_per_s},
                    {"announcement_bytes_per_s", cost.announcement_bytes_per_s},
                    {"relays", cost.relays},
                    {"relay_bytes_per_s", cost.relay_bytes_per_s},
                    {"relay_cpu_ratio", cost.relay_cpu_ratio},
                    {"known_servers", cost.known_servers}});
  }
  return rows;
}

}  // namespace

int RunStateBench(bool json) {
  CommitFigures single;
  CommitFigures grouped;
  bool ok =
      MeasureCommits(1, 300, &single) && MeasureCommits(64, 10'000, &grouped);
  const double restart_300 = MeasureRestart(300);
  const double restart_3000 = MeasureRestart(3000);
  std::vector<double> whole;
  std::vector<double> partitioned;
  for (uint64_t seed = 1; seed <= kInForceSeeds; ++seed) {
    whole.push_back(MeasureInForce(seed, false));
    partitioned.push_back(MeasureInForce(seed, true));
  }
  ok = ok && restart_300 >= 0 && restart_3000 >= 0 && Quantile(whole, 0) >= 0 &&
       Quantile(partitioned, 0) >= 0;
  nlohmann::ordered_json figures = {
      {"commit_ms",
       {{"p50", Quantile(single.commit_ms, 0.5)},
        {"p95", Quantile(single.commit_ms, 0.95)},
        {"p99", Quantile(single.commit_ms, 0.99)}}},
      {"commit_ms_grouped",
       {{"p50", Quantile(grouped.commit_ms, 0.5)},
        {"p95", Quantile(grouped.commit_ms, 0.95)},
        {"p99", Quantile(grouped.commit_ms, 0.99)}}},
      {"changes_per_s", grouped.changes_per_s},
      {"restart_s", {{"300", restart_300}, {"3000", restart_3000}}},
      {"in_force_s",
       {{"max", std::max(Quantile(whole, 1), Quantile(partitioned, 1))},
        {"p50", Quantile(whole, 0.5)},
        {"whole_max", Quantile(whole, 1)},
        {"partitioned_p50", Quantile(partitioned, 0.5)},
        {"partitioned_max", Quantile(partitioned, 1)}}}};
  figures["control"] = MeasureControl();
  if (json) {
    std::printf("%s\n", figures.dump(2).c_str());
  } else {
    for (const auto& [key, value] : figures.flatten().items()) {
      std::printf("%-32s %.4f\n", key.c_str(), value.get<double>());
    }
  }
  if (!ok) {
    std::fprintf(stderr, "state bench: a measurement failed\n");
  }
  return ok ? 0 : 1;
}

}  // namespace camphorsail
