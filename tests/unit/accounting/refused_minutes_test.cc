#include "camphorsail/accounting/refused_minutes.h"

#include <array>
#include <map>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "camphorsail/accounting/minute_marks.h"
#include "gtest/gtest.h"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

RefusedMinuteRecord MakeRecord(const Step& step) {
  return {ClientAccountId(step.a % 2 == 0 ? "a" : "b"),
          ClassId("x"),
          MinuteIndex(step.b % 12),
          step.c % 2 == 0 ? ErrorKind::kOverloaded : ErrorKind::kBackendFailed,
          step.c,
          VmId(absl::StrCat("vm", step.a % 3))};
}

// Guards against a set whose records, first reasons or dropped minutes depend
// on the order of records and merges, also when it is full or restored.
TEST(RefusedMinutesTest, MergeDoesNotDependOnOrder) {
  const auto violation = FindViolation(
      2000, 3,
      [](const std::vector<Step>& steps) -> std::optional<std::string> {
        constexpr size_t kCapacity = 8;
        RefusedMinutes forward(kCapacity);
        RefusedMinutes backward(kCapacity);
        std::array<RefusedMinutes, 3> parts = {RefusedMinutes(kCapacity),
                                               RefusedMinutes(kCapacity),
                                               RefusedMinutes(kCapacity)};
        for (const Step& step : steps) {
          forward.Add(MakeRecord(step));
          parts[step.kind].Add(MakeRecord(step));
        }
        for (auto it = steps.rbegin(); it != steps.rend(); ++it) {
          backward.Add(MakeRecord(*it));
          backward = *RefusedMinutes::Restore(backward.Snapshot());
        }
        parts[0].Merge(parts[1]);
        parts[2].Merge(parts[0]);
        parts[2].Merge(parts[1]);
        if (!(forward == backward)) {
          return "the set depends on the order of the records";
        }
        if (!(forward == parts[2])) {
          return "merged parts differ from the whole";
        }
        if (forward.minutes().size() > kCapacity) {
          return "the set exceeds its capacity";
        }
        return std::nullopt;
      });
  EXPECT_EQ(violation, std::nullopt);
}

/// Simulates two VMs that refuse requests, mark minutes, crash and restart. The
/// records of a minute reach the replicated state together with its mark.
/// @param new_incarnations False gives a restarted process the incarnation of
/// its predecessor, so that it can mark the predecessor's minutes.
/// @return The first violated rule.
std::optional<std::string> RunProcesses(const std::vector<Step>& steps,
                                        bool new_incarnations) {
  struct Vm {
    VmId id;
    bool up = false;
    uint64_t incarnation = 0;
    std::vector<RefusedMinuteRecord> pending{};
  };
  std::array<Vm, 2> vms = {Vm{VmId("vm0")}, Vm{VmId("vm1")}};
  RefusedMinutes refused;
  MinuteMarks marks;
  std::set<RefusedMinutes::Key> refused_keys;
  int64_t minute = 1000;
  for (const Step& step : steps) {
    Vm& vm = vms[step.a % 2];
    switch (step.kind) {
      case 0:
        if (!vm.up) {
          vm.up = true;
          if (new_incarnations || vm.incarnation == 0) {
            ++vm.incarnation;
          }
          marks.OnRegistration({vm.id, Incarnation(vm.incarnation),
                                VmState::kActive, MinuteIndex(minute)});
        }
        break;
      case 1:
      case 2:
        if (vm.up) {
          RefusedMinuteRecord record = MakeRecord(step);
          record.minute = MinuteIndex(minute);
          vm.pending.push_back(record);
          refused_keys.insert({record.minute, record.account, record.class_id});
        }
        break;
      case 3:
        // Every running VM proposes its records and marks the minute.
        for (Vm& closing : vms) {
          if (closing.up) {
            for (const RefusedMinuteRecord& record : closing.pending) {
              refused.Add(record);
            }
            closing.pending.clear();
            marks.Mark({closing.id, Incarnation(closing.incarnation),
                        MinuteIndex(minute), MinuteIndex(minute)},
                       MinuteIndex(minute));
          }
        }
        ++minute;
        break;
      case 4:
        vm.up = false;
        vm.pending.clear();
        break;
      case 5:
        if (step.b % 4 == 0 && !vm.up && vm.incarnation > 0) {
          marks.OnRegistration({vm.id, Incarnation(vm.incarnation),
                                VmState::kLost, MinuteIndex(minute)});
        }
        marks = *MinuteMarks::Restore(marks.Snapshot());
        break;
    }
  }
  if (minute == 1000) {
    return std::nullopt;
  }
  int64_t next = 1000;
  for (const MinuteBasis& basis :
       marks.Basis(MinuteIndex(1000), MinuteIndex(minute - 1))) {
    if (basis.first.value() != next || basis.last < basis.first) {
      return "the ranges do not cover the minutes in order";
    }
    next = basis.last.value() + 1;
    for (int64_t m = basis.first.value();
         basis.is_confirmed() && m <= basis.last.value(); ++m) {
      for (const RefusedMinutes::Key& key : refused_keys) {
        if (key.minute.value() == m && !refused.minutes().contains(key)) {
          return absl::StrCat("minute ", m,
                              " is vouched for but lacks a refused minute");
        }
      }
    }
  }
  return next == minute ? std::nullopt
                        : std::optional<std::string>("minutes are missing");
}

// Guards against reporting a minute as completely recorded although records of
// it were lost in a crash.
TEST(MinuteMarksTest, ConfirmedMinutesAreComplete) {
  EXPECT_EQ(FindViolation(3000, 6,
                          [](const std::vector<Step>& steps) {
                            return RunProcesses(steps, true);
                          }),
            std::nullopt);
}

// Shows that the check detects a restarted process that marks minutes of its
// predecessor.
TEST(MinuteMarksTest, DetectsMarksOfARestartedProcess) {
  const auto violation =
      FindViolation(3000, 6, [](const std::vector<Step>& steps) {
        return RunProcesses(steps, false);
      });
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("is vouched for"), std::string::npos);
}

// Guards against accepting marks of future minutes or of unknown processes.
TEST(MinuteMarksTest, RejectsMarksOfFutureMinutesAndUnknownProcesses) {
  MinuteMarks marks;
  const MinuteMark mark{VmId("vm0"), Incarnation(1), MinuteIndex(5),
                        MinuteIndex(9)};
  EXPECT_FALSE(marks.Mark(mark, MinuteIndex(9)).has_value());
  marks.OnRegistration(
      {VmId("vm0"), Incarnation(1), VmState::kActive, MinuteIndex(7)});
  EXPECT_FALSE(marks.Mark(mark, MinuteIndex(8)).has_value());
  EXPECT_TRUE(marks.Mark(mark, MinuteIndex(9)).has_value());
  const auto basis = marks.Basis(MinuteIndex(6), MinuteIndex(10));
  ASSERT_EQ(basis.size(), 3u);
  EXPECT_TRUE(basis[0].expected.empty());
  EXPECT_FALSE(basis[0].is_confirmed()) << "no process admitted in minute 6";
  EXPECT_TRUE(basis[1].is_confirmed());
  EXPECT_EQ(basis[1].last, MinuteIndex(9));
  EXPECT_FALSE(basis[2].is_confirmed());
}

}  // namespace
}  // namespace camphorsail
