#ifndef CAMPHORSAIL_ACCOUNTING_MINUTE_MARKS_H_
#define CAMPHORSAIL_ACCOUNTING_MINUTE_MARKS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/accounting/minute_mark.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/membership/vm_registration.h"

namespace camphorsail {

/// Maximum number of processes that are kept, enough for about 100 days at 480
/// restarts per day.
constexpr size_t kMaxMarkedProcesses = 50000;

/// One start of the daemon on one VM.
struct ProcessId {
  VmId vm;
  Incarnation incarnation;

  friend auto operator<=>(const ProcessId&, const ProcessId&) = default;
  MSGPACK_DEFINE(vm, incarnation)
};

/// A range of minutes in which the same processes may have admitted requests
/// and the same ones of them have marked the minutes.
struct MinuteBasis {
  /// First and last minute of the range, both inclusive.
  MinuteIndex first;
  MinuteIndex last;
  /// Processes that may have admitted requests in these minutes.
  std::vector<ProcessId> expected;
  /// The processes in `expected` that have not marked these minutes.
  std::vector<ProcessId> missing;

  /// @return True when every process that may have admitted requests has marked
  /// these minutes, so that no refused minute is missing. False when there is
  /// no process, because no process can have made that statement. Reports call
  /// this state `vouched_for`.
  bool is_confirmed() const { return !expected.empty() && missing.empty(); }
};

/// Records which processes may have admitted requests in which minutes, and
/// which of these minutes they have marked as completely recorded. Owned by
/// `ControlState`; not thread-safe.
class MinuteMarks {
 public:
  /// Records that a process has started, stopped or been lost. The start of a
  /// process ends the earlier process of the same VM in the same minute.
  void OnRegistration(const VmRegistration& registration);

  /// Records that a process has marked a range of minutes.
  /// @param mark The range; the part before the start of the process is
  /// ignored.
  /// @param latest The last minute that can have ended. A mark that ends later
  /// is rejected, because requests may still be refused in those minutes.
  /// @return Success, or `kProtocolError` when the process is unknown or the
  /// range is not valid.
  Expected<void> Mark(const MinuteMark& mark, MinuteIndex latest);

  /// @param first First minute, inclusive.
  /// @param last Last minute, inclusive.
  /// @return Consecutive ranges that cover the minutes from `first` to `last`.
  std::vector<MinuteBasis> Basis(MinuteIndex first, MinuteIndex last) const;

  /// @return The first minute from which the data of no process was dropped.
  MinuteIndex complete_from() const { return complete_from_; }

  /// @return The encoded state.
  std::string Snapshot() const;
  /// Decodes the state.
  /// @param bytes A result of `Snapshot`.
  /// @return The marks; `kDataCorrupt` when `bytes` is not valid.
  static Expected<MinuteMarks> Restore(std::string_view bytes);

  friend bool operator==(const MinuteMarks&, const MinuteMarks&) = default;

 private:
  struct Process {
    /// Minute in which the process started.
    MinuteIndex start;
    /// Last minute in which the process may have admitted requests; absent
    /// while it may still do so.
    std::optional<MinuteIndex> end;
    /// Marked minutes as disjoint, non-adjacent ranges: first to last minute.
    std::map<MinuteIndex, MinuteIndex> marked;

    friend bool operator==(const Process&, const Process&) = default;
    MSGPACK_DEFINE(start, end, marked)
  };

  // Drops the processes that ended first until `kMaxMarkedProcesses` holds.
  // Processes that may still admit requests are never dropped.
  void EnforceCapacity();

  std::map<ProcessId, Process> processes_;
  MinuteIndex complete_from_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_MINUTE_MARKS_H_
