#include <string>

#include "camphorsail/accounting/attainment_counters.h"
#include "camphorsail/accounting/refused_minutes_report.h"
#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

constexpr int64_t kMinute = 29'413'000;

MinuteIndex MinuteAt(int64_t offset) {
  return MinuteIndex(kMinute + offset);
}

/// Builds a report in which vm1 has marked minutes 0 to 3 and vm2 only 0 and 1.
/// Minutes 1 and 2 are refused; minute 4 has not ended.
RefusedMinutesReport BuildReport() {
  RefusedMinutes refused;
  MinuteMarks marks;
  for (const char* vm : {"vm1", "vm2"}) {
    marks.OnRegistration(
        {VmId(vm), Incarnation(1), VmState::kActive, MinuteAt(0)});
    marks.Mark({VmId(vm), Incarnation(1), MinuteAt(0),
                MinuteAt(std::string(vm) == "vm1" ? 3 : 1)},
               MinuteAt(3));
  }
  for (int64_t offset : {1, 2}) {
    refused.Add({ClientAccountId("a,\"b\""), ClassId("x"), MinuteAt(offset),
                 ErrorKind::kOverloaded, (kMinute + offset) * 60'000'000,
                 VmId("vm1")});
  }
  auto report =
      BuildRefusedMinutesReport(refused, marks, MinuteAt(0), MinuteAt(9),
                                absl::FromUnixSeconds((kMinute + 4) * 60));
  EXPECT_TRUE(report.has_value());
  return *report;
}

// Guards against a report that omits which processes have marked a minute, or
// that treats a minute as final before it has ended.
TEST(RefusedMinutesReportTest, ReportsTheBasisOfEachMinute) {
  const RefusedMinutesReport report = BuildReport();
  EXPECT_EQ(report.UnconfirmedCount(), 2);
  EXPECT_EQ(report.open_from, MinuteAt(4));
  const nlohmann::json json = RenderJson(report);
  EXPECT_EQ(json["refused_minutes"], 2);
  EXPECT_EQ(json["not_vouched_for_minutes"], 2);
  EXPECT_EQ(json["refused"][0]["record"], "vouched_for");
  EXPECT_EQ(json["refused"][1]["record"], "not_vouched_for");
  EXPECT_EQ(json["refused"][0]["first_reason"], "overloaded");
  EXPECT_EQ(json["basis"].size(), 2u);
  EXPECT_EQ(json["basis"][1]["not_marked_by"][0]["vm"], "vm2");
  EXPECT_EQ(json["basis"][1]["processes"].size(), 2u);
  const std::string text = RenderText(report);
  EXPECT_NE(text.find("not vouched for: 2"), std::string::npos) << text;
  EXPECT_NE(text.find("not ended: from " + FormatMinute(MinuteAt(4))),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("vm2/1"), std::string::npos) << text;
}

// Guards against fields that contain separators and shift the columns of the
// CSV.
TEST(RefusedMinutesReportTest, CsvQuotesFieldsAndKeepsColumns) {
  const std::string csv = RenderCsv(BuildReport());
  EXPECT_NE(csv.find(",\"a,\"\"b\"\"\",x,overloaded,"), std::string::npos)
      << csv;
  size_t lines = 0;
  size_t begin = 0;
  while (begin < csv.size()) {
    const size_t end = csv.find("\r\n", begin);
    const std::string line = csv.substr(begin, end - begin);
    bool quoted = false;
    int commas = 0;
    for (const char c : line) {
      quoted ^= c == '"';
      commas += c == ',' && !quoted ? 1 : 0;
    }
    EXPECT_EQ(commas, 10) << line;
    ++lines;
    begin = end + 2;
  }
  EXPECT_EQ(lines, 5u);
}

// Guards against dropped records that look like minutes without refusals.
TEST(RefusedMinutesReportTest, DroppedMinutesAreNotConfirmed) {
  RefusedMinutes refused(1);
  MinuteMarks marks;
  marks.OnRegistration(
      {VmId("vm1"), Incarnation(1), VmState::kActive, MinuteAt(0)});
  marks.Mark({VmId("vm1"), Incarnation(1), MinuteAt(0), MinuteAt(3)},
             MinuteAt(3));
  for (int64_t offset : {1, 2}) {
    refused.Add({ClientAccountId("a"), ClassId("x"), MinuteAt(offset),
                 ErrorKind::kOverloaded, 0, VmId("vm1")});
  }
  const auto report =
      BuildRefusedMinutesReport(refused, marks, MinuteAt(0), MinuteAt(3),
                                absl::FromUnixSeconds((kMinute + 4) * 60));
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->complete_from, MinuteAt(2));
  EXPECT_EQ(report->UnconfirmedCount(), 2);
  EXPECT_EQ(RenderJson(*report)["basis"][0]["record"], "dropped");
  EXPECT_EQ(RenderJson(*report)["basis"][1]["record"], "vouched_for");
}

// Guards against a report of unbounded size or cost.
TEST(RefusedMinutesReportTest, RangeIsBounded) {
  const auto build = [](int64_t first, int64_t last) {
    return BuildRefusedMinutesReport(RefusedMinutes(), MinuteMarks(),
                                     MinuteIndex(first), MinuteIndex(last),
                                     absl::FromUnixSeconds(0));
  };
  EXPECT_FALSE(build(5, 4).has_value());
  EXPECT_FALSE(build(0, kMaxReportMinutes).has_value());
  EXPECT_TRUE(build(0, kMaxReportMinutes - 1).has_value());
}

// Guards against late or incomplete answers that count as goodput, and against
// tokens of incomplete answers that do not count as wasted.
TEST(AttainmentCountersTest, CountsByHowRequestsEnded) {
  using Kind = RequestResult::Kind;
  AttainmentCounters counters;
  const auto record = [&](Kind kind, bool first, bool total, int delivered,
                          int discarded) {
    counters.Record({ClientAccountId("a"), ClassId("x"), kind, first, total,
                     Tokens(delivered), Tokens(discarded)});
  };
  record(Kind::kCompleted, true, true, 10, 2);
  record(Kind::kCompleted, false, true, 10, 0);
  record(Kind::kCompleted, true, false, 10, 0);
  record(Kind::kRefused, false, false, 0, 0);
  record(Kind::kFailed, true, false, 5, 3);
  record(Kind::kCallerGone, true, false, 4, 0);
  AttainmentCounters total;
  total.Merge(counters);
  total.Merge(counters);
  const AttainmentCount& count = total.counts().begin()->second;
  EXPECT_EQ(count.sent, 12u);
  EXPECT_EQ(count.goodput, 4u);
  EXPECT_EQ(count.attained, 2u);
  EXPECT_EQ(count.goodput_tokens, Tokens(40));
  EXPECT_EQ(count.wasted_tokens, Tokens(2 * (2 + 5 + 3 + 4)));
  EXPECT_DOUBLE_EQ(count.Attainment(), 0.2);
}

// Guards against unbounded memory use with many class names.
TEST(AttainmentCountersTest, ClassesAreBounded) {
  AttainmentCounters counters;
  for (size_t i = 0; i < AttainmentCounters::kMaxClasses + 100; ++i) {
    counters.Record({ClientAccountId("a"), ClassId(std::to_string(i)),
                     RequestResult::Kind::kRefused});
  }
  EXPECT_EQ(counters.counts().size(), AttainmentCounters::kMaxClasses + 1);
  EXPECT_EQ(counters.counts().at({}).refused, 100u);
}

}  // namespace
}  // namespace camphorsail
