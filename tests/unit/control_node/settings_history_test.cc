#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/settings/settings_store.h"
#include "gtest/gtest.h"
#include "tests/unit/control_node/control_cluster.h"

namespace camphorsail {
namespace {

constexpr uint64_t kFirstSeed = 20261204;
constexpr int kHistories = 200;
constexpr int kVms = 4;

/// One change or read of the settings, as its client saw it.
struct Operation {
  bool is_change = false;
  MonoTime invoked;
  /// When the answer arrived; not set while the outcome is not known.
  std::optional<MonoTime> answered;
  /// The version that a change made or a read returned.
  uint64_t version = 0;
};

/// Checks that the operations are those of a linearizable register in which
/// each change makes the next version.
/// @return A description of the first contradiction; nothing when there is
/// none.
std::optional<std::string> FindLinearizabilityViolation(
    const std::vector<Operation>& operations) {
  for (size_t i = 0; i < operations.size(); ++i) {
    const Operation& a = operations[i];
    if (!a.answered.has_value()) {
      continue;
    }
    for (size_t j = 0; j < operations.size(); ++j) {
      const Operation& b = operations[j];
      if (i == j || !b.answered.has_value()) {
        continue;
      }
      if (a.is_change && b.is_change && a.version == b.version) {
        return absl::StrCat("two changes made version ", a.version);
      }
      if (*a.answered >= b.invoked) {
        continue;
      }
      if (b.version < a.version || (b.is_change && b.version == a.version)) {
        return absl::StrCat("an operation that saw version ", b.version,
                            " began after one that saw version ", a.version,
                            " had ended");
      }
    }
  }
  return std::nullopt;
}

/// Runs clients that change and read the settings through random VMs while VMs
/// are killed, frozen and cut off.
class SettingsHistory {
 public:
  /// @param wait_until_current False to answer reads from the VM's own state
  /// without asking the leader. The check must detect this.
  SettingsHistory(uint64_t seed, bool wait_until_current)
      : cluster_(kVms, seed),
        random_(seed ^ 0x9e3779b9),
        wait_until_current_(wait_until_current) {}

  std::optional<std::string> Run() {
    cluster_.RunFor(absl::Seconds(3));
    for (int step = 0; step < 40; ++step) {
      InjectFault();
      StartOperation();
      const MonoTime end =
          cluster_.now() + absl::Milliseconds(50 + random_.Below(400));
      while (cluster_.now() < end) {
        cluster_.RunFor(absl::Milliseconds(5));
        Collect();
        if (violation_.has_value()) {
          return violation_;
        }
      }
    }
    return FindLinearizabilityViolation(operations_);
  }

 private:
  struct Pending {
    size_t operation = 0;
    int vm = 0;
    int start = 0;
    uint64_t id = 0;
  };

  void InjectFault() {
    const int vm = static_cast<int>(random_.Below(kVms));
    switch (random_.Below(8)) {
      case 0:
        if (cluster_.vm(vm).running) {
          cluster_.Kill(vm);
        }
        break;
      case 1:
        cluster_.vm(vm).frozen = cluster_.vm(vm).running;
        break;
      case 2: {
        std::vector<int> rest;
        for (int i = 0; i < kVms; ++i) {
          if (i != vm) {
            rest.push_back(i);
          }
        }
        cluster_.CutConnections({vm}, rest);
        break;
      }
      case 3:
        cluster_.CutConnections({0, 1}, {2, 3});
        break;
      default:
        // Half of all steps repair everything, so that operations can succeed
        // between the faults.
        cluster_.RestoreConnections();
        for (int i = 0; i < kVms; ++i) {
          cluster_.vm(i).frozen = false;
          if (!cluster_.vm(i).running) {
            cluster_.Start(i);
          }
        }
        break;
    }
  }

  void StartOperation() {
    const int vm = static_cast<int>(random_.Below(kVms));
    if (!cluster_.vm(vm).running || cluster_.vm(vm).frozen) {
      return;
    }
    Operation operation;
    operation.invoked = cluster_.now();
    operation.is_change = random_.Below(2) == 0;
    Pending pending{operations_.size(), vm, cluster_.vm(vm).starts, 0};
    operations_.push_back(operation);
    if (operation.is_change) {
      const uint64_t base =
          cluster_.vm(vm).node->state().settings().version().value();
      pending.id = cluster_.SubmitChange(
          vm, absl::StrCat("change-", operations_.size()), base,
          "ttft_target_ms", absl::StrCat(500 + operations_.size()));
    } else {
      pending.id = operations_.size();
      if (wait_until_current_) {
        cluster_.Post(vm, ReadEvent{pending.id});
      } else {
        cluster_.vm(vm).reads.emplace(pending.id, Expected<void>());
      }
    }
    pending_.push_back(pending);
  }

  void Collect() {
    for (const Pending& pending : pending_) {
      ControlCluster::Vm& vm = cluster_.vm(pending.vm);
      Operation& operation = operations_[pending.operation];
      if (operation.answered.has_value() || vm.starts != pending.start ||
          !vm.running) {
        continue;
      }
      if (operation.is_change) {
        const auto answer = vm.answers.find(pending.id);
        if (answer != vm.answers.end() && answer->second.has_value() &&
            !answer->second->error.has_value()) {
          operation.answered = cluster_.now();
          operation.version = answer->second->settings_version.value();
          CheckInForce(operation.version);
        }
      } else {
        const auto answer = vm.reads.find(pending.id);
        if (answer != vm.reads.end() && answer->second.has_value()) {
          operation.answered = cluster_.now();
          operation.version = vm.node->state().settings().version().value();
        }
      }
    }
  }

  /// Checks that every VM that may admit requests uses a version not older than
  /// the accepted one.
  void CheckInForce(uint64_t version) {
    for (int i = 0; i < kVms; ++i) {
      if (cluster_.MayAdmit(i) &&
          cluster_.vm(i).settings->settings_version.value() < version) {
        violation_ =
            absl::StrCat("vm", i, " admits requests with version ",
                         cluster_.vm(i).settings->settings_version.value(),
                         " after version ", version, " was accepted");
      }
    }
  }

  ControlCluster cluster_;
  Random random_;
  const bool wait_until_current_;
  std::vector<Operation> operations_;
  std::vector<Pending> pending_;
  std::optional<std::string> violation_;
};

// Guards against reads that miss an accepted change, versions that are given to
// two changes, and VMs that admit requests with settings that were replaced,
// while VMs are killed, frozen and cut off.
TEST(SettingsHistoryTest, ChangesAndReadsAreLinearizable) {
  for (int i = 0; i < kHistories; ++i) {
    const uint64_t seed = kFirstSeed + static_cast<uint64_t>(i);
    const auto violation = SettingsHistory(seed, true).Run();
    ASSERT_FALSE(violation.has_value())
        << "seed " << seed << ": " << *violation;
  }
}

// Shows that the check detects reads from a state that may be stale.
TEST(SettingsHistoryTest, FindsReadsThatDoNotAskTheLeader) {
  for (int i = 0; i < kHistories; ++i) {
    if (SettingsHistory(kFirstSeed + static_cast<uint64_t>(i), false).Run()) {
      return;
    }
  }
  FAIL() << "no history found the stale read";
}

}  // namespace
}  // namespace camphorsail
