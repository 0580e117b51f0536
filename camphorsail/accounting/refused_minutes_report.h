#ifndef CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_REPORT_H_
#define CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/accounting/minute_marks.h"
#include "camphorsail/accounting/refused_minute_record.h"
#include "camphorsail/accounting/refused_minutes.h"
#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// Longest range of one report in minutes. Bounds the size of a report and the
/// time to build it.
constexpr int64_t kMaxReportMinutes = 31 * 24 * 60;

/// The refused minutes in a range, and for each minute which processes have
/// confirmed that its records are complete.
struct RefusedMinutesReport {
  /// First and last minute, both inclusive.
  MinuteIndex first;
  MinuteIndex last;
  /// First minute that has not ended in replicated time, so that more refusals
  /// may follow; between `first` and `last` + 1.
  MinuteIndex open_from;
  /// Records or marks of minutes before this one may have been dropped.
  MinuteIndex complete_from;
  /// The refused minutes in order of minute, account and class.
  std::vector<RefusedMinuteRecord> refused;
  /// Consecutive ranges that cover the minutes from `first` to the minute
  /// before `open_from`.
  std::vector<MinuteBasis> basis;

  /// @param range A range of `basis`.
  /// @return True when every process that may have admitted requests has marked
  /// the minutes and none of their records was dropped.
  bool IsConfirmed(const MinuteBasis& range) const {
    return range.is_confirmed() && range.first >= complete_from;
  }
  /// @return Number of ended minutes that may lack refused minutes, because
  /// `IsConfirmed` is false for them.
  int64_t UnconfirmedCount() const;
};

/// Builds a report.
/// @param refused The refused minutes.
/// @param marks The marks of the processes.
/// @param first First minute, inclusive.
/// @param last Last minute, inclusive.
/// @param replicated_now Replicated time; the minute that contains it has not
/// ended.
/// @return The report; `kInvalidRequest` when the range is empty or longer than
/// `kMaxReportMinutes`.
Expected<RefusedMinutesReport> BuildRefusedMinutesReport(
    const RefusedMinutes& refused,
    const MinuteMarks& marks,
    MinuteIndex first,
    MinuteIndex last,
    absl::Time replicated_now);

/// @return The minute in the form `2026-12-04T07:39Z`.
std::string FormatMinute(MinuteIndex minute);

/// @return The report as tables in plain text.
std::string RenderText(const RefusedMinutesReport& report);
/// @return The report as a JSON object.
nlohmann::json RenderJson(const RefusedMinutesReport& report);
/// @return The report as CSV (RFC 4180): a header line, then one line per
/// refused minute and one per range of minutes.
std::string RenderCsv(const RefusedMinutesReport& report);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_REFUSED_MINUTES_REPORT_H_
