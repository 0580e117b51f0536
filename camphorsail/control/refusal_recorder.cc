#include "camphorsail/control/refusal_recorder.h"

#include <utility>

namespace camphorsail {
namespace {

// Number of minutes before the minute of the latest refusal that `recorded_`
// keeps. A refusal that is added late for one of them makes no second record.
constexpr int64_t kRememberedMinutes = 2;

/// @return True when `minute` directly follows the marked range of the same
/// process, so that the mark can be extended.
bool ExtendsMark(const MinuteMark& mark,
                 Incarnation incarnation,
                 MinuteIndex minute) {
  return mark.incarnation == incarnation &&
         mark.last.value() + 1 == minute.value();
}

}  // namespace

RefusalRecorder::RefusalRecorder(VmId vm, absl::Duration interval)
    : vm_(std::move(vm)), interval_(interval) {}

void RefusalRecorder::Add(const ClientAccountId& account,
                          const ClassId& class_id,
                          ErrorKind reason,
                          MinuteIndex minute,
                          absl::Time wall_now) {
  const MinuteIndex oldest(minute.value() - kRememberedMinutes);
  recorded_.erase(recorded_.begin(),
                  recorded_.lower_bound(Key(oldest, {}, {})));
  if (!recorded_.insert(Key(minute, account, class_id)).second) {
    return;
  }
  RefusedMinuteRecord record;
  record.account = account;
  record.class_id = class_id;
  record.minute = minute;
  record.reason = reason;
  record.first_at_micros = absl::ToUnixMicros(wall_now);
  record.vm = vm_;
  pending_.refused.push_back(std::move(record));
}

void RefusalRecorder::MarkMinute(Incarnation incarnation, MinuteIndex minute) {
  if (!pending_.marks.empty() &&
      ExtendsMark(pending_.marks.back(), incarnation, minute)) {
    pending_.marks.back().last = minute;
    return;
  }
  pending_.marks.push_back(MinuteMark{vm_, incarnation, minute, minute});
}

std::optional<AccountingBatch> RefusalRecorder::TakeBatch(MonoTime now) {
  if (in_flight_.has_value() || now < next_batch_ ||
      (pending_.refused.empty() && pending_.marks.empty())) {
    return std::nullopt;
  }
  next_batch_ = now + interval_;
  in_flight_ = std::exchange(pending_, {});
  return in_flight_;
}

void RefusalRecorder::OnAnswer(bool committed) {
  if (!in_flight_.has_value()) {
    return;
  }
  if (!committed) {
    // The content of the failed batch goes first, so that the marks stay
    // ordered by minute.
    AccountingBatch retry = *std::move(in_flight_);
    for (RefusedMinuteRecord& record : pending_.refused) {
      retry.refused.push_back(std::move(record));
    }
    for (MinuteMark& mark : pending_.marks) {
      if (!retry.marks.empty() &&
          ExtendsMark(retry.marks.back(), mark.incarnation, mark.first)) {
        retry.marks.back().last = mark.last;
      } else {
        retry.marks.push_back(std::move(mark));
      }
    }
    pending_ = std::move(retry);
  }
  in_flight_.reset();
}

bool RefusalRecorder::idle() const {
  return !in_flight_.has_value() && pending_.refused.empty() &&
         pending_.marks.empty();
}

}  // namespace camphorsail
