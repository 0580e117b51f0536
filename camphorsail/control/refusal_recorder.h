#ifndef CAMPHORSAIL_CONTROL_REFUSAL_RECORDER_H_
#define CAMPHORSAIL_CONTROL_REFUSAL_RECORDER_H_

#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/accounting/minute_mark.h"
#include "camphorsail/accounting/refused_minute_record.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/command.h"

namespace camphorsail {

/// Holds the refused minutes and minute marks of this VM until they are
/// committed. A refused minute is a minute in which a request of an account's
/// class was refused or failed. Only the first refusal of an account's class in
/// a minute makes a record. A mark states that all records of its minute are
/// committed, so it is committed together with these records or after them.
///
/// Owned by `ControlNode`. Not thread-safe.
class RefusalRecorder {
 public:
  /// @param vm This VM.
  /// @param interval Minimum time between two batches.
  RefusalRecorder(VmId vm, absl::Duration interval);

  /// Records a refused or failed request.
  /// @param minute Current minute of the VM's minute clock.
  void Add(const ClientAccountId& account,
           const ClassId& class_id,
           ErrorKind reason,
           MinuteIndex minute,
           absl::Time wall_now);

  /// Marks a minute that has ended: this process states that it has added all
  /// refusals of the minute.
  void MarkMinute(Incarnation incarnation, MinuteIndex minute);

  /// @return The batch to commit now; nothing when no record or mark waits, an
  ///     earlier batch is not answered, or the interval has not passed.
  std::optional<AccountingBatch> TakeBatch(MonoTime now);

  /// Handles the outcome of the batch in flight.
  /// @param committed False when its content must be committed again.
  void OnAnswer(bool committed);

  /// @return True when everything is committed.
  bool idle() const;

 private:
  using Key = std::tuple<MinuteIndex, ClientAccountId, ClassId>;

  VmId vm_;
  absl::Duration interval_;
  MonoTime next_batch_;
  /// Combinations of minute, account and class for which this process has made
  /// a record, for the latest minutes; earlier ones are dropped.
  std::set<Key> recorded_;
  AccountingBatch pending_;
  std::optional<AccountingBatch> in_flight_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_REFUSAL_RECORDER_H_
