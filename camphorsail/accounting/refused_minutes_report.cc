#include "camphorsail/accounting/refused_minutes_report.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "camphorsail/accounting/minute_clock.h"
#include "camphorsail/base/error_kind.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

MinuteIndex AddMinutes(MinuteIndex minute, int64_t count) {
  return MinuteIndex(minute.value() + count);
}

int64_t MinuteCount(const MinuteBasis& basis) {
  return basis.last.value() - basis.first.value() + 1;
}

/// Splits the range that contains `minute`, so that a range starts at `minute`.
void SplitAt(MinuteIndex minute, std::vector<MinuteBasis>* ranges) {
  for (size_t i = 0; i < ranges->size(); ++i) {
    MinuteBasis& range = (*ranges)[i];
    if (range.first < minute && minute <= range.last) {
      MinuteBasis rest = range;
      rest.first = minute;
      range.last = AddMinutes(minute, -1);
      ranges->insert(ranges->begin() + static_cast<ptrdiff_t>(i) + 1,
                     std::move(rest));
      return;
    }
  }
}

std::string_view ReasonCode(const RefusedMinuteRecord& record) {
  return GetErrorTraits(record.reason).code;
}

std::string_view RecordState(const RefusedMinutesReport& report,
                             const MinuteBasis& range) {
  if (report.IsConfirmed(range)) {
    return "vouched_for";
  }
  if (range.first < report.complete_from) {
    return "dropped";
  }
  return range.expected.empty() ? "no_process" : "not_vouched_for";
}

/// Returns the state of the range that contains `minute`.
std::string_view RecordStateAt(const RefusedMinutesReport& report,
                               MinuteIndex minute) {
  for (const MinuteBasis& range : report.basis) {
    if (range.first <= minute && minute <= range.last) {
      return RecordState(report, range);
    }
  }
  return "open";
}

std::string ListProcesses(const std::vector<ProcessId>& processes) {
  return absl::StrJoin(processes, " ",
                       [](std::string* out, const ProcessId& process) {
                         absl::StrAppend(out, process.vm.value(), "/",
                                         process.incarnation.value());
                       });
}

std::string CsvField(std::string_view text) {
  if (text.find_first_of(",\"\r\n") == std::string_view::npos) {
    return std::string(text);
  }
  return absl::StrCat(
      "\"", absl::StrReplaceAll(std::string(text), {{"\"", "\"\""}}), "\"");
}

std::string FormatMicros(int64_t micros) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::FromUnixMicros(micros),
                          absl::UTCTimeZone());
}

}  // namespace

std::string FormatMinute(MinuteIndex minute) {
  return absl::FormatTime("%Y-%m-%dT%H:%MZ",
                          absl::FromUnixSeconds(minute.value() * 60),
                          absl::UTCTimeZone());
}

int64_t RefusedMinutesReport::UnconfirmedCount() const {
  int64_t count = 0;
  for (const MinuteBasis& range : basis) {
    count += IsConfirmed(range) ? 0 : MinuteCount(range);
  }
  return count;
}

Expected<RefusedMinutesReport> BuildRefusedMinutesReport(
    const RefusedMinutes& refused,
    const MinuteMarks& marks,
    MinuteIndex first,
    MinuteIndex last,
    absl::Time replicated_now) {
  if (first > last || last.value() - first.value() >= kMaxReportMinutes) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("the range from minute ", first.value(),
                             " to minute ", last.value(), " must have 1 to ",
                             kMaxReportMinutes, " minutes"));
  }
  RefusedMinutesReport report;
  report.first = first;
  report.last = last;
  report.open_from =
      std::clamp(MinuteOf(replicated_now), first, AddMinutes(last, 1));
  report.complete_from =
      std::max(refused.complete_from(), marks.complete_from());
  report.refused = refused.Range(first, last);
  if (report.open_from > first) {
    report.basis = marks.Basis(first, AddMinutes(report.open_from, -1));
    SplitAt(report.complete_from, &report.basis);
  }
  return report;
}

std::string RenderText(const RefusedMinutesReport& report) {
  std::string out =
      absl::StrFormat("Refused minutes from %s to %s\n",
                      FormatMinute(report.first), FormatMinute(report.last));
  absl::StrAppendFormat(&out, "refused: %d\nnot vouched for: %d\n",
                        report.refused.size(), report.UnconfirmedCount());
  if (report.open_from <= report.last) {
    absl::StrAppendFormat(&out, "not ended: from %s\n",
                          FormatMinute(report.open_from));
  }
  if (report.complete_from > report.first) {
    absl::StrAppendFormat(&out, "records dropped: before %s\n",
                          FormatMinute(report.complete_from));
  }
  absl::StrAppendFormat(&out, "\n%-18s %-20s %-20s %-24s %-12s %s\n", "MINUTE",
                        "ACCOUNT", "CLASS", "FIRST REASON", "VM", "RECORD");
  for (const RefusedMinuteRecord& record : report.refused) {
    absl::StrAppendFormat(&out, "%-18s %-20s %-20s %-24s %-12s %s\n",
                          FormatMinute(record.minute), record.account.value(),
                          record.class_id.value(),
                          std::string(ReasonCode(record)), record.vm.value(),
                          std::string(RecordStateAt(report, record.minute)));
  }
  absl::StrAppendFormat(&out, "\n%-18s %-18s %-16s %-10s %s\n", "FROM", "TO",
                        "RECORD", "PROCESSES", "NOT MARKED BY");
  for (const MinuteBasis& range : report.basis) {
    absl::StrAppendFormat(
        &out, "%-18s %-18s %-16s %-10d %s\n", FormatMinute(range.first),
        FormatMinute(range.last), std::string(RecordState(report, range)),
        range.expected.size(),
        range.missing.empty() ? "-" : ListProcesses(range.missing));
  }
  return out;
}

nlohmann::json RenderJson(const RefusedMinutesReport& report) {
  nlohmann::json refused = nlohmann::json::array();
  for (const RefusedMinuteRecord& record : report.refused) {
    refused.push_back(
        {{"minute", FormatMinute(record.minute)},
         {"account", record.account.value()},
         {"class", record.class_id.value()},
         {"first_reason", std::string(ReasonCode(record))},
         {"first_at", FormatMicros(record.first_at_micros)},
         {"vm", record.vm.value()},
         {"record", std::string(RecordStateAt(report, record.minute))}});
  }
  const auto processes = [](const std::vector<ProcessId>& list) {
    nlohmann::json json = nlohmann::json::array();
    for (const ProcessId& process : list) {
      json.push_back({{"vm", process.vm.value()},
                      {"incarnation", process.incarnation.value()}});
    }
    return json;
  };
  nlohmann::json basis = nlohmann::json::array();
  for (const MinuteBasis& range : report.basis) {
    basis.push_back({{"from", FormatMinute(range.first)},
                     {"to", FormatMinute(range.last)},
                     {"record", std::string(RecordState(report, range))},
                     {"processes", processes(range.expected)},
                     {"not_marked_by", processes(range.missing)}});
  }
  return {{"from", FormatMinute(report.first)},
          {"to", FormatMinute(report.last)},
          {"open_from", FormatMinute(report.open_from)},
          {"complete_from", FormatMinute(report.complete_from)},
          {"refused_minutes", report.refused.size()},
          {"not_vouched_for_minutes", report.UnconfirmedCount()},
          {"refused", std::move(refused)},
          {"basis", std::move(basis)}};
}

std::string RenderCsv(const RefusedMinutesReport& report) {
  std::string out =
      "kind,from,to,account,class,first_reason,first_at,vm,record,"
      "processes,not_marked_by\r\n";
  for (const RefusedMinuteRecord& record : report.refused) {
    const std::string minute = FormatMinute(record.minute);
    absl::StrAppend(
        &out,
        absl::StrJoin(
            {std::string("refused"), minute, minute,
             CsvField(record.account.value()),
             CsvField(record.class_id.value()), std::string(ReasonCode(record)),
             FormatMicros(record.first_at_micros), CsvField(record.vm.value()),
             std::string(RecordStateAt(report, record.minute)), std::string(),
             std::string()},
            ","),
        "\r\n");
  }
  for (const MinuteBasis& range : report.basis) {
    absl::StrAppend(
        &out,
        absl::StrJoin({std::string("basis"), FormatMinute(range.first),
                       FormatMinute(range.last), std::string(), std::string(),
                       std::string(), std::string(), std::string(),
                       std::string(RecordState(report, range)),
                       CsvField(ListProcesses(range.expected)),
                       CsvField(ListProcesses(range.missing))},
                      ","),
        "\r\n");
  }
  return out;
}

}  // namespace camphorsail
