#include "camphorsail/ledger/ledger.h"

#include <array>
#include <map>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "gtest/gtest.h"
#include "tests/unit/control/histories.h"

namespace camphorsail {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'764'800'000);

LedgerKey MakeKey(std::string key) {
  return LedgerKey::ForIdempotencyKey(ClientAccountId("a"),
                                      IdempotencyKey(std::move(key)));
}

/// Returns a version 7 UUID with the creation time `time`.
std::string UuidAt(absl::Time time, int tail = 0) {
  const auto millis = static_cast<uint64_t>(absl::ToUnixMillis(time));
  return absl::StrFormat("%08x-%04x-7abc-8def-%012x", millis >> 16,
                         millis & 0xffff, tail);
}

LedgerOpen MakeOpen(LedgerKey key, uint64_t request, std::string vm = "vm1") {
  return {std::move(key), "digest",         RequestId(request),
          VmId(vm),       AttemptNumber(1), absl::ToUnixMicros(kStart)};
}

LedgerClose MakeClose(const LedgerOpen& open, std::string body) {
  RecordedOutcome outcome;
  outcome.http_status = 200;
  outcome.body = std::move(body);
  return {open.key, open.request, open.attempt, false, std::move(outcome)};
}

// Guards against sending a repeat of a key, whatever the state of its record.
TEST(LedgerTest, RepeatsAreNeverSent) {
  Ledger ledger;
  const LedgerOpen first = MakeOpen(MakeKey("k"), 1);
  EXPECT_EQ(ledger.Open(first, kStart).verdict, LedgerVerdict::kSend);
  const LedgerOpen repeat = MakeOpen(MakeKey("k"), 2, "vm2");
  EXPECT_EQ(ledger.Open(repeat, kStart).verdict, LedgerVerdict::kUnknown);
  EXPECT_EQ(ledger.Close(MakeClose(repeat, "wrong"), kStart),
            LedgerCloseResult::kNotOpen);
  EXPECT_EQ(ledger.Close(MakeClose(first, "body"), kStart),
            LedgerCloseResult::kClosed);
  EXPECT_EQ(ledger.Close(MakeClose(first, "other"), kStart),
            LedgerCloseResult::kAlreadyClosed);
  const LedgerOpenResult recorded = ledger.Open(repeat, kStart);
  EXPECT_EQ(recorded.verdict, LedgerVerdict::kRecorded);
  EXPECT_EQ(recorded.outcome.body, "body");
}

// Guards against an error that reports "not run" when the request may have run,
// or "unknown" when nothing was sent.
TEST(LedgerTest, VerdictsMapToErrorsWithTheRightRunState) {
  const auto was_run = [](LedgerVerdict verdict) {
    return GetErrorTraits(*LedgerErrorKind(verdict)).request_was_run;
  };
  EXPECT_EQ(LedgerErrorKind(LedgerVerdict::kSend), std::nullopt);
  EXPECT_EQ(LedgerErrorKind(LedgerVerdict::kRecorded), std::nullopt);
  EXPECT_EQ(was_run(LedgerVerdict::kUnknown), RequestWasRun::kUnknown);
  EXPECT_EQ(was_run(LedgerVerdict::kFull), RequestWasRun::kNo);
  EXPECT_EQ(was_run(LedgerVerdict::kAlreadyClosed), RequestWasRun::kNo);
  EXPECT_EQ(was_run(LedgerVerdict::kInvalid), RequestWasRun::kNo);
}

// Guards against returning the outcome of a different request that used the
// same key.
TEST(LedgerTest, KeyWithAnotherDigestIsReused) {
  Ledger ledger;
  LedgerOpen open = MakeOpen(MakeKey("k"), 1);
  ledger.Open(open, kStart);
  open.request_digest = "another";
  EXPECT_EQ(ledger.Open(open, kStart).verdict, LedgerVerdict::kKeyReused);
}

// Guards against an account that reads or blocks the key of another account.
TEST(LedgerTest, KeysBelongToTheirAccount) {
  Ledger ledger;
  ledger.Open(MakeOpen(MakeKey("k"), 1), kStart);
  const LedgerKey other =
      LedgerKey::ForIdempotencyKey(ClientAccountId("b"), IdempotencyKey("k"));
  EXPECT_EQ(ledger.Open(MakeOpen(other, 2), kStart).verdict,
            LedgerVerdict::kSend);
}

// Guards against a key that stays blocked after an attempt that was not sent,
// and against sending the closed attempt later.
TEST(LedgerTest, NotRunFreesTheKeyForLaterAttempts) {
  Ledger ledger;
  LedgerOpen open = MakeOpen(MakeKey("k"), 1);
  ledger.Open(open, kStart);
  LedgerClose close = MakeClose(open, "");
  close.not_run = true;
  EXPECT_EQ(ledger.Close(close, kStart), LedgerCloseResult::kClosed);
  EXPECT_EQ(ledger.Open(open, kStart).verdict, LedgerVerdict::kAlreadyClosed);
  open.attempt = AttemptNumber(2);
  EXPECT_EQ(ledger.Open(open, kStart).verdict, LedgerVerdict::kSend);
  EXPECT_EQ(ledger.Close(close, kStart), LedgerCloseResult::kNotOpen);
}

// Guards against a record that is dropped before a repeat of its key can be
// recognized as too old.
TEST(LedgerTest, OldKeysWithCreationTimeAreRefused) {
  Ledger ledger;
  const std::string uuid = UuidAt(kStart);
  EXPECT_EQ(KeyCreationTime(IdempotencyKey(uuid)), kStart);
  EXPECT_EQ(KeyCreationTime(IdempotencyKey("order-17")), std::nullopt);
  EXPECT_EQ(
      KeyCreationTime(IdempotencyKey("550e8400-e29b-41d4-a716-446655440000")),
      std::nullopt);
  const LedgerOpen open = MakeOpen(MakeKey(uuid), 1);
  EXPECT_EQ(ledger.Open(open, kStart).verdict, LedgerVerdict::kSend);
  const absl::Time late = kStart + kLedgerRetention;
  const absl::Time before = late - absl::Microseconds(1);
  EXPECT_EQ(ledger.Open(MakeOpen(MakeKey(uuid), 2), before).verdict,
            LedgerVerdict::kUnknown);
  EXPECT_EQ(ledger.Open(MakeOpen(MakeKey(uuid), 3), late).verdict,
            LedgerVerdict::kKeyExpired);
  EXPECT_EQ(ledger.Find(MakeKey(uuid)), nullptr);
}

// Guards against unbounded memory use, and against recording a truncated
// outcome as if it were complete.
TEST(LedgerTest, SizeIsBounded) {
  Ledger ledger;
  for (size_t i = 0; i < kMaxLedgerRecordsPerAccount; ++i) {
    ASSERT_EQ(
        ledger.Open(MakeOpen(MakeKey(absl::StrCat(i)), i), kStart).verdict,
        LedgerVerdict::kSend);
  }
  EXPECT_EQ(ledger.Open(MakeOpen(MakeKey("more"), 1), kStart).verdict,
            LedgerVerdict::kFull);
  const LedgerKey other =
      LedgerKey::ForIdempotencyKey(ClientAccountId("b"), IdempotencyKey("k"));
  EXPECT_EQ(ledger.Open(MakeOpen(other, 1), kStart).verdict,
            LedgerVerdict::kSend);
  const std::string large(kMaxRecordedBodyBytes + 1, 'x');
  EXPECT_EQ(ledger.Close(MakeClose(MakeOpen(other, 1), large), kStart),
            LedgerCloseResult::kClosed);
  EXPECT_FALSE(ledger.Open(MakeOpen(other, 1), kStart).outcome.body_stored);
  EXPECT_EQ(ledger.outcome_bytes(), 0u);
  const std::string key(kMaxIdempotencyKeyBytes + 1, 'k');
  EXPECT_EQ(ledger.Open(MakeOpen(MakeKey(key), 1), kStart).verdict,
            LedgerVerdict::kInvalid);
  EXPECT_EQ(*Ledger::Restore(ledger.Snapshot()), ledger);
  ledger.Expire(kStart + kLedgerRetention);
  EXPECT_EQ(ledger.size(), 0u);
}

// Guards against keeping records without an idempotency key for a whole day. No
// caller can repeat such a request, and the records would fill the ledger.
TEST(LedgerTest, ClosedRecordsWithoutKeyAreDroppedEarly) {
  Ledger ledger;
  const LedgerOpen open =
      MakeOpen(LedgerKey::ForRequest(ClientAccountId("a"), RequestId(1)), 1);
  ledger.Open(open, kStart);
  ledger.Expire(kStart + absl::Hours(1));
  EXPECT_EQ(ledger.size(), 1u) << "an open record is kept";
  ledger.Close(MakeClose(open, ""), kStart + absl::Hours(1));
  ledger.Expire(kStart + absl::Hours(1) + kKeylessRecordRetention);
  EXPECT_EQ(ledger.size(), 0u);
}

/// Rules that a test can switch off, to show that the history detects the
/// resulting faults.
struct Rules {
  bool snapshot_keeps_records = true;
  bool unknown_is_not_sent = true;
};

/// A history in which callers repeat keys through two VMs, which send the
/// requests that the ledger permits. Proposals are duplicated and delayed, VMs
/// are lost, and the ledger is restored from snapshots.
class LedgerHistory {
 public:
  explicit LedgerHistory(Rules rules) : rules_(rules) {}

  std::optional<std::string> Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) {
      Apply(step);
      if (violation_) {
        return violation_;
      }
      if (ledger_.size() > opens_.size()) {
        return "more records than opens";
      }
    }
    return std::nullopt;
  }

 private:
  /// State of a request on its VM; lost with the VM.
  enum class Sender { kWaiting, kSent, kClosed, kLost };
  struct Recorded {
    absl::Time opened;
    std::string body;
  };

  void Apply(const Step& step) {
    switch (step.kind) {
      case 0:
      case 1: {
        LedgerOpen open =
            MakeOpen(keys_[step.a % keys_.size()], opens_.size() + 1,
                     step.b % 2 == 0 ? "vm1" : "vm2");
        opens_.push_back(open);
        senders_.push_back(Sender::kWaiting);
        Propose(opens_.size() - 1);
        break;
      }
      case 2:
        if (!opens_.empty()) {
          Propose(step.a % opens_.size());
        }
        break;
      case 3:
      case 4:
        if (!opens_.empty()) {
          Close(step.a % opens_.size(), step.b % 3 == 0);
        }
        break;
      case 5: {
        auto restored = Ledger::Restore(ledger_.Snapshot());
        if (!restored || !(*restored == ledger_)) {
          violation_ = "the restored ledger differs";
          return;
        }
        ledger_ =
            rules_.snapshot_keeps_records ? std::move(*restored) : Ledger();
        break;
      }
      case 6:
        now_ += absl::Minutes(step.a * step.a / 10);
        break;
      case 7:
        for (size_t i = 0; i < opens_.size(); ++i) {
          if (opens_[i].vm == VmId(step.a % 2 == 0 ? "vm1" : "vm2") &&
              senders_[i] != Sender::kClosed) {
            // Whether the request ran is unknown, so it counts as run.
            if (senders_[i] == Sender::kSent) {
              RecordRun(i);
            }
            senders_[i] = Sender::kLost;
          }
        }
        break;
    }
  }

  void Propose(size_t i) {
    const LedgerOpen& open = opens_[i];
    const LedgerOpenResult result = ledger_.Open(open, now_);
    const auto recorded = recorded_.find(open.key);
    if (rules_.snapshot_keeps_records && recorded != recorded_.end() &&
        now_ < recorded->second.opened + kLedgerRetention &&
        (result.verdict != LedgerVerdict::kRecorded ||
         result.outcome.body != recorded->second.body)) {
      violation_ = "a repeat did not get the recorded outcome";
    }
    const bool may_send = result.verdict == LedgerVerdict::kSend ||
                          (!rules_.unknown_is_not_sent &&
                           result.verdict == LedgerVerdict::kUnknown);
    if (!may_send || senders_[i] != Sender::kWaiting) {
      return;
    }
    senders_[i] = Sender::kSent;
    // The request counts as run when it is closed or its VM is lost, unless the
    // close states that it was not run.
    sent_at_[i] = now_;
  }

  void Close(size_t i, bool not_run) {
    const LedgerOpen& open = opens_[i];
    if (senders_[i] == Sender::kClosed) {
      // Sends the earlier close again.
      ledger_.Close(closes_.at(i), now_);
      return;
    }
    if (senders_[i] != Sender::kSent) {
      return;
    }
    senders_[i] = Sender::kClosed;
    LedgerClose close = MakeClose(open, absl::StrCat("body ", i));
    close.not_run = not_run;
    closes_[i] = close;
    const LedgerCloseResult result = ledger_.Close(close, now_);
    if (not_run) {
      return;
    }
    RecordRun(i);
    if (result == LedgerCloseResult::kClosed) {
      recorded_[open.key] = {sent_at_[i], close.outcome.body};
    }
  }

  /// Records a run and checks it against all earlier runs of its key. Runs are
  /// recorded when they end, possibly in a different order than they were sent.
  void RecordRun(size_t i) {
    const LedgerKey& key = opens_[i].key;
    const bool has_creation_time =
        KeyCreationTime(key.idempotency_key).has_value();
    for (const absl::Time other : run_times_[key]) {
      if (has_creation_time ||
          absl::AbsDuration(sent_at_[i] - other) < kLedgerRetention) {
        violation_ =
            absl::StrCat("key ", key.idempotency_key.value(), " ran twice");
      }
    }
    run_times_[key].push_back(sent_at_[i]);
  }

  const Rules rules_;
  const std::array<LedgerKey, 4> keys_ = {
      MakeKey("plain"), MakeKey("other"), MakeKey(UuidAt(kStart)),
      MakeKey(UuidAt(kStart + absl::Hours(20), 1))};
  Ledger ledger_;
  absl::Time now_ = kStart;
  std::vector<LedgerOpen> opens_;
  std::vector<Sender> senders_;
  std::map<size_t, absl::Time> sent_at_;
  std::map<size_t, LedgerClose> closes_;
  /// Times at which the runs of each key were sent.
  std::map<LedgerKey, std::vector<absl::Time>> run_times_;
  std::map<LedgerKey, Recorded> recorded_;
  std::optional<std::string> violation_;
};

std::optional<std::string> RunLedgerHistories(Rules rules) {
  return FindViolation(3000, 8, [rules](const std::vector<Step>& steps) {
    return LedgerHistory(rules).Run(steps);
  });
}

// Guards against a key that runs twice, or a repeat that does not get the
// recorded outcome, with duplicates, delays, VM losses and restored snapshots.
TEST(LedgerHistoryTest, KeysRunAtMostOnce) {
  EXPECT_EQ(RunLedgerHistories({}), std::nullopt);
}

// Shows that the history detects a snapshot that loses the records.
TEST(LedgerHistoryTest, DetectsRecordsMissingFromTheSnapshot) {
  const auto violation = RunLedgerHistories({.snapshot_keeps_records = false});
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("ran twice"), std::string::npos) << *violation;
}

// Shows that the history detects a VM that sends a request although the record
// is open for another request.
TEST(LedgerHistoryTest, DetectsSendingWhileAnotherRecordIsOpen) {
  const auto violation = RunLedgerHistories({.unknown_is_not_sent = false});
  ASSERT_TRUE(violation.has_value());
  EXPECT_NE(violation->find("ran twice"), std::string::npos) << *violation;
}

}  // namespace
}  // namespace camphorsail
