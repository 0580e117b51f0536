#include "camphorsail/control/control_state.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "camphorsail/accounting/minute_clock.h"
#include "camphorsail/accounting/minute_marks.h"
#include "camphorsail/accounting/refused_minutes.h"
#include "camphorsail/control/replicated_clock.h"
#include "camphorsail/ledger/ledger.h"
#include "camphorsail/membership/vm_directory.h"
#include "camphorsail/orders/order_store.h"
#include "camphorsail/settings/settings_store.h"
#include "gtest/gtest.h"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

constexpr int64_t kStartMicros = 1'764'800'000'000'000;

SettingsChange MakeChange(std::string id,
                          uint64_t base,
                          std::string path,
                          int tier) {
  return {ChangeId(std::move(id)),
          SettingsVersion(base),
          "ana",
          {{std::move(path), "tier", false, std::to_string(tier)}}};
}

std::string Encode(CommandBody body,
                   int64_t wall = kStartMicros,
                   std::string vm = "vm1") {
  return EncodeCommand({VmId(std::move(vm)), wall, std::move(body)});
}

LedgerOpen MakeOpen(std::string key, uint64_t request) {
  return {LedgerKey::ForIdempotencyKey(ClientAccountId("a"),
                                       IdempotencyKey(std::move(key))),
          "digest",
          RequestId(request),
          VmId("vm1"),
          AttemptNumber(1),
          kStartMicros};
}

/// Makes a command whose type and content depend on a generated step. The kinds
/// 0 to 6 each make one type of command.
CommandBody MakeBody(const Step& step, uint64_t version) {
  switch (step.kind) {
    case 0:
      return MakeChange(absl::StrCat("c", step.c),
                        step.b % 3 == 0 ? step.b : version,
                        step.a % 2 == 0 ? "fleet" : "fleet/a/x", step.c % 5);
    case 1: {
      LedgerBatch batch;
      batch.opens = {MakeOpen(absl::StrCat(step.a % 3), step.b),
                     MakeOpen(absl::StrCat(step.c % 3), step.c)};
      const LedgerOpen closed = MakeOpen(absl::StrCat(step.b % 3), step.c);
      batch.closes = {{closed.key,
                       closed.request,
                       closed.attempt,
                       step.a % 4 == 0,
                       {200, {{"h", "v"}}, "body", true}}};
      return batch;
    }
    case 2: {
      AccountingBatch batch;
      const MinuteIndex minute(kStartMicros / 60'000'000 + step.a % 9);
      batch.refused = {{ClientAccountId("a"), ClassId("x"), minute,
                        ErrorKind::kOverloaded, step.b, VmId("vm1")}};
      batch.marks = {{VmId("vm1"), Incarnation(step.c % 3), minute, minute}};
      return batch;
    }
    case 3: {
      VmRegistration vm;
      vm.vm = VmId("vm1");
      vm.incarnation = Incarnation(step.a % 3);
      vm.state = static_cast<VmState>(step.b % 3);
      vm.minute = MinuteIndex(kStartMicros / 60'000'000 + step.c % 9);
      return vm;
    }
    case 4:
      return DesiredEngine{BackendServerId("e"), {}, step.a, step.b % 3 == 0};
    case 5:
      return OrderIntent{{TermNumber(step.a % 4), uint64_t(step.b)},
                         BackendServerId("e"),
                         Incarnation(step.c % 3)};
    default:
      return OrderObservation{BackendServerId("e"),
                              Incarnation(step.c % 3),
                              {},
                              {TermNumber(step.a % 4), uint64_t(step.b)}};
  }
}

// Guards against replicas whose states differ after the same entries, in
// particular when one of them was restored from a snapshot in between.
TEST(ControlStateHistoryTest, ReplicasStayEqual) {
  const auto violation = FindViolation(
      1500, 8,
      [](const std::vector<Step>& steps) -> std::optional<std::string> {
        ControlState reference;
        ControlState restored;
        uint64_t index = 0;
        int64_t wall = kStartMicros;
        for (const Step& step : steps) {
          // Kind 7 lets time pass and restores a replica from a snapshot.
          if (step.kind == 7) {
            wall += int64_t{step.a} * step.a * 20'000'000;
            auto copy = ControlState::Restore(restored.Snapshot());
            if (!copy) {
              return "restore failed: " + copy.error().message;
            }
            restored = std::move(*copy);
          } else {
            const std::string bytes =
                Encode(MakeBody(step, reference.settings().version().value()),
                       wall, absl::StrCat("vm", step.b % 4));
            const auto decoded = DecodeCommand(bytes);
            if (!decoded || EncodeCommand(*decoded) != bytes) {
              return "a command changed in its encoding";
            }
            ++index;
            const CommandResult a = reference.Apply(LogIndex(index), bytes);
            const CommandResult b = restored.Apply(LogIndex(index), bytes);
            if (EncodeCommandResult(a) != EncodeCommandResult(b)) {
              return "replicas answer differently";
            }
          }
          if (reference.Digest() != restored.Digest()) {
            return "replicas differ";
          }
        }
        return std::nullopt;
      });
  EXPECT_EQ(violation, std::nullopt);
}

// Guards against undecodable entries that change the state or stop a replica,
// and against damaged snapshots that are accepted.
TEST(ControlStateTest, DamagedBytesAreErrors) {
  ControlState state;
  const std::string good = Encode(MakeChange("c1", 0, "fleet/a/x", 1));
  state.Apply(LogIndex(1), good);
  const std::string snapshot = state.Snapshot();
  for (size_t size = 0; size < good.size(); ++size) {
    const auto result = state.Apply(LogIndex(2), good.substr(0, size));
    ASSERT_TRUE(result.error.has_value());
    EXPECT_EQ(result.error->kind, ErrorKind::kProtocolError);
  }
  EXPECT_EQ(state.settings().version(), SettingsVersion(1));
  for (size_t size = 0; size < snapshot.size(); ++size) {
    const auto restored = ControlState::Restore(snapshot.substr(0, size));
    ASSERT_FALSE(restored.has_value());
    EXPECT_EQ(restored.error().kind, ErrorKind::kDataCorrupt);
  }
  // An array header that states four billion elements.
  EXPECT_FALSE(DecodeCommand("\x94\x01\xdd\xff\xff\xff\xff").has_value());
  for (size_t i = 0; i < good.size(); ++i) {
    std::string damaged = good;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x41);
    (void)DecodeCommand(damaged);
  }
}

// Guards against an answer to a resent change that states the present version
// instead of the one that the change made.
TEST(ControlStateTest, ResentChangeGetsTheOriginalVersion) {
  ControlState state;
  const std::string first = Encode(MakeChange("c1", 0, "fleet", 1));
  state.Apply(LogIndex(1), first);
  state.Apply(LogIndex(2), Encode(MakeChange("c2", 1, "fleet", 2)));
  const CommandResult again = state.Apply(LogIndex(3), first);
  EXPECT_FALSE(again.error.has_value());
  EXPECT_EQ(again.settings_version, SettingsVersion(1));
  EXPECT_EQ(state.settings().version(), SettingsVersion(2));
}

// Guards against settings changes that `IsSettingsCommand` does not recognize,
// so that the admission lease does not protect them, and against provisional
// entries that change the committed state.
TEST(ControlStateTest, ProvisionalChangesAreForAdmissionOnly) {
  ControlState state;
  const std::string digest(64, 'a');
  SettingsChange change = MakeChange("c1", 0, "fleet/a/x", 1);
  change.edits.push_back(
      {"fleet/a", "api_key_sha256", false, "[\"" + digest + "\"]"});
  state.Apply(LogIndex(1), Encode(change));
  const std::string next = Encode(MakeChange("c2", 1, "fleet/a/x", 0));
  const std::string other = Encode(LedgerBatch{{MakeOpen("k", 1)}, {}});
  EXPECT_TRUE(IsSettingsCommand(next));
  EXPECT_FALSE(IsSettingsCommand(other));
  EXPECT_FALSE(IsSettingsCommand(""));
  const auto provisional =
      state.BuildEffectiveSettings({other, next, "damaged", Encode(change)});
  EXPECT_EQ(provisional->settings_version, SettingsVersion(2));
  const auto committed = state.BuildEffectiveSettings({});
  EXPECT_EQ(committed->settings_version, SettingsVersion(1));
  const ClientAccountId account("a");
  EXPECT_EQ(committed->account_by_key_sha256.at(digest), account);
  EXPECT_EQ(committed->accounts.at(account).classes[0].tier, Tier(1));
  EXPECT_EQ(provisional->accounts.at(account).classes[0].tier, Tier(0));
}

// Guards against fields of a result that its encoding loses.
TEST(CommandResultTest, EncodingRoundTrips) {
  CommandResult result;
  result.index = LogIndex(7);
  result.error =
      Error{ErrorKind::kSettingsConflict, "stale", absl::Milliseconds(5)};
  result.settings_version = SettingsVersion(3);
  result.opens = {{LedgerVerdict::kRecorded, {200, {{"a", "b"}}, "body", true}},
                  {LedgerVerdict::kSend, {}}};
  result.closes = {LedgerCloseResult::kNotOpen};
  const std::string bytes = EncodeCommandResult(result);
  const auto decoded = DecodeCommandResult(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(EncodeCommandResult(*decoded), bytes);
  EXPECT_EQ(decoded->error->kind, ErrorKind::kSettingsConflict);
  EXPECT_EQ(decoded->error->retry_after, absl::Milliseconds(5));
  EXPECT_EQ(decoded->opens[0].outcome.body, "body");
  EXPECT_FALSE(DecodeCommandResult(bytes.substr(1)).has_value());
}

// Guards against one VM with a wrong clock that expires the ledger's records.
TEST(ReplicatedClockTest, OneWrongClockDoesNotMoveTheTime) {
  ReplicatedClock clock;
  uint64_t index = 0;
  const auto observe = [&](const char* vm, int64_t seconds) {
    clock.Observe(VmId(vm), kStartMicros + seconds * 1'000'000,
                  LogIndex(++index));
    return absl::ToUnixMicros(clock.Now()) - kStartMicros;
  };
  observe("vm1", 0);
  observe("vm2", 1);
  observe("vm3", 2);
  EXPECT_EQ(observe("vm4", 86'400 * 365), 1'000'000);
  EXPECT_EQ(observe("vm1", 10), 2'000'000);
  EXPECT_EQ(observe("vm2", -86'400), 2'000'000) << "time went back";
  // The clocks of replaced VMs are dropped once enough other VMs report.
  for (int i = 0; i < 7; ++i) {
    observe(absl::StrCat("new", i).c_str(), 100);
  }
  EXPECT_EQ(observe("new0", 101), 100'000'000);
}

// Guards against changes that are lost or rejected when thousands of them are
// replayed on a large settings tree. The duration is recorded as a test
// property and not checked.
TEST(ControlStateTest, ReplaysManyChangesOnALargeTree) {
  ControlState state;
  SettingsChange first = MakeChange("c0", 0, "fleet", 1);
  for (int account = 0; account < 1100; ++account) {
    for (int i = 0; i < 5; ++i) {
      first.edits.push_back(
          {absl::StrCat("fleet/a", account, "/c", i), "tier", false, "2"});
    }
  }
  state.Apply(LogIndex(1), Encode(first));
  const absl::Time begin = absl::Now();
  for (uint64_t i = 1; i <= 3000; ++i) {
    const auto result = state.Apply(
        LogIndex(i + 1),
        Encode(MakeChange(absl::StrCat("c", i), i,
                          absl::StrCat("fleet/a", i % 1100, "/c1"), i % 4)));
    ASSERT_FALSE(result.error.has_value()) << result.error->message;
  }
  RecordProperty("replay_s.3000",
                 absl::StrCat(absl::ToDoubleSeconds(absl::Now() - begin)));
  EXPECT_EQ(state.settings().version(), SettingsVersion(3001));
  const auto restored = ControlState::Restore(state.Snapshot());
  ASSERT_TRUE(restored.has_value());
  EXPECT_EQ(restored->Digest(), state.Digest());
}

}  // namespace
}  // namespace camphorsail
