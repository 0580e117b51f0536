#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/duties/duty_store.h"
#include "gtest/gtest.h"
#include "tests/unit/control_node/virtual_provider.h"

namespace camphorsail {
namespace {

constexpr int kVms = 4;
constexpr int kCallsPerSecond = 6;
constexpr absl::Duration kWindow = absl::Seconds(5);
constexpr absl::Duration kInputInterval = absl::Milliseconds(500);
constexpr absl::Duration kSettleTime = absl::Seconds(10);
constexpr int kSubjects = 6;
/// Histories of each kind in a run of all tests. The environment variable
/// `DUTY_HISTORIES` sets another number, `DUTY_FIRST_SEED` another first seed.
constexpr uint64_t kHistories = 6;

enum class Fault : uint8_t {
  kKill,
  kRestart,
  kFreeze,
  kIsolate,
  kLostDisk,
  kOutage,
};
constexpr uint64_t kFaults = 6;

uint64_t NumberFromEnvironment(const char* name, uint64_t standard) {
  const char* const text = std::getenv(name);
  uint64_t number = 0;
  return text != nullptr && absl::SimpleAtoi(text, &number) ? number : standard;
}

DutySettings MakeDuties(bool checks_tokens) {
  DutySettings duties;
  duties.reports_usage = true;
  duties.orders_servers = true;
  duties.provider_checks_tokens = checks_tokens;
  duties.provider_calls_per_s = kCallsPerSecond;
  return duties;
}

ServerOrderSubject Subject(int number) {
  return {ModelId(absl::StrCat("service", number / 2)),
          FailureDomainId(absl::StrCat("fd", number % 2)),
          ServerTenure::kRegular};
}

/// Runs a fleet with duties while its leaders and the provider fail.
class DutyFleet {
 public:
  DutyFleet(uint64_t seed, bool checks_tokens)
      : cluster_(kVms, seed, {}, {}, MakeDuties(checks_tokens)),
        random_(seed + 1),
        provider_({checks_tokens, kCallsPerSecond, DutySettings().lease},
                  seed + 2,
                  &cluster_) {
    cluster_.on_provider_call = [this](int vm, const ProviderCall& call) {
      provider_.OnCall(vm, call);
    };
  }

  const VirtualProvider& provider() const { return provider_; }

  void RunFor(absl::Duration duration) {
    const MonoTime end = cluster_.now() + duration;
    while (cluster_.now() < end) {
      if (cluster_.now() >= next_inputs_) {
        next_inputs_ = cluster_.now() + kInputInterval;
        ChangeWanted();
        PostInputs();
      }
      cluster_.RunFor(absl::Milliseconds(20));
      provider_.Step();
    }
  }

  void InjectFault(Fault fault) {
    const int leader = cluster_.Leader();
    const int vm = leader >= 0 && random_.Below(4) != 0
                       ? leader
                       : static_cast<int>(random_.Below(kVms));
    const absl::Duration duration =
        absl::Milliseconds(200 + random_.Below(15'000));
    // What is not accepted before a fault is repeated by the next holder.
    provider_.set_available(random_.Below(4) != 0);
    switch (fault) {
      case Fault::kKill:
        cluster_.Kill(vm);
        RunFor(duration);
        cluster_.Start(vm);
        break;
      case Fault::kRestart:
        cluster_.Kill(vm);
        RunFor(absl::Milliseconds(20 + random_.Below(500)));
        cluster_.Start(vm);
        break;
      case Fault::kFreeze:
        cluster_.vm(vm).frozen = true;
        RunFor(duration);
        cluster_.vm(vm).frozen = false;
        break;
      case Fault::kIsolate: {
        std::vector<int> rest;
        for (int i = 0; i < kVms; ++i) {
          if (i != vm) {
            rest.push_back(i);
          }
        }
        cluster_.CutConnections({vm}, rest);
        provider_.OnVmLost(vm);
        RunFor(duration);
        cluster_.RestoreConnections();
        provider_.OnVmBack(vm);
        break;
      }
      case Fault::kLostDisk:
        cluster_.Kill(vm);
        RunFor(duration);
        cluster_.LoseDisk(vm);
        cluster_.Start(vm);
        // Until the group has replaced the replica.
        RunFor(absl::Seconds(20));
        break;
      case Fault::kOutage:
        provider_.set_available(false);
        RunFor(duration);
        break;
    }
    provider_.set_available(true);
    // Often shorter than a lease and an election, so that the leadership
    // returns soon.
    RunFor(absl::Milliseconds(500 + random_.Below(9'500)));
  }

  /// Ends the faults, and checks that all reports are accepted and all servers
  /// run.
  void Settle() {
    is_wanted_fixed_ = true;
    provider_.set_calm(true);
    RunFor(absl::Seconds(90));
    const int leader = cluster_.Leader();
    ASSERT_GE(leader, 0);
    const DutyStore& store = cluster_.vm(leader).node->state().duties();
    // The last window may have been agreed just now.
    EXPECT_LE(store.open_windows().size(), 1U);
    EXPECT_EQ(store.abandoned_windows(), 0U);
    for (const UsageWindowNumber number : store.settled_windows()) {
      EXPECT_TRUE(provider_.accepted_windows().contains(number));
    }
    for (int i = 0; i < kSubjects; ++i) {
      EXPECT_EQ(provider_.Running(Subject(i)), wanted_[static_cast<size_t>(i)]);
    }
  }

 private:
  void ChangeWanted() {
    if (!is_wanted_fixed_ && random_.Below(2) == 0) {
      wanted_[random_.Below(kSubjects)] = static_cast<int>(random_.Below(6));
    }
  }

  /// Gives the VMs that lead, or believe so, their inputs. Each sees other
  /// counts.
  void PostInputs() {
    for (int i = 0; i < kVms; ++i) {
      const auto& vm = cluster_.vm(i);
      if (!vm.running || vm.frozen ||
          vm.node->replica().role() != ReplicaRole::kLeader) {
        continue;
      }
      DutyInputs inputs;
      const int64_t current =
          cluster_.now().nanos() / absl::ToInt64Nanoseconds(kWindow);
      for (int64_t number = std::max<int64_t>(0, current - 10);
           number < current - 1; ++number) {
        inputs.closed_windows.push_back(
            {UsageWindowNumber(number),
             {{ClientAccountId("account"), 100 + random_.Below(100)}}});
      }
      for (int subject = 0; subject < kSubjects; ++subject) {
        inputs.wanted_servers.push_back(
            {{Subject(subject), wanted_[static_cast<size_t>(subject)]},
             provider_.Running(Subject(subject)),
             kSettleTime});
      }
      cluster_.Post(i, DutyInputsEvent{std::move(inputs)});
    }
  }

  ControlCluster cluster_;
  Random random_;
  VirtualProvider provider_;
  std::vector<int> wanted_ = std::vector<int>(kSubjects, 1);
  bool is_wanted_fixed_ = false;
  MonoTime next_inputs_;
};

void RunHistories(bool checks_tokens) {
  const uint64_t first = NumberFromEnvironment("DUTY_FIRST_SEED", 1);
  const uint64_t histories =
      NumberFromEnvironment("DUTY_HISTORIES", kHistories);
  int received = 0;
  for (uint64_t seed = first; seed < first + histories; ++seed) {
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    DutyFleet fleet(seed, checks_tokens);
    fleet.RunFor(absl::Seconds(30));
    Random random(seed + 3);
    for (int i = 0; i < 12; ++i) {
      fleet.InjectFault(static_cast<Fault>(random.Below(kFaults)));
    }
    fleet.Settle();
    for (const auto& [promise, count] : fleet.provider().violations()) {
      EXPECT_EQ(count, 0) << promise;
    }
    received += fleet.provider().received();
  }
  testing::Test::RecordProperty("received", received);
  EXPECT_GT(received, static_cast<int>(histories) * 100);
}

// Guards against two contents of a report, tokens that two VMs use or that go
// back, holders that act in turns within a lease or after it, calls above the
// rate, tokens that are used after a conflict, and duties that are left undone.
TEST(DutyClusterTest, PromisesHoldAtAProviderThatIgnoresTokens) {
  RunHistories(false);
}

// Guards against the same faults with a provider that checks tokens.
TEST(DutyClusterTest, PromisesHoldAtAProviderThatChecksTokens) {
  RunHistories(true);
}

}  // namespace
}  // namespace camphorsail
