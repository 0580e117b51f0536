#include "ctl/render.h"

#include <string>

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

using nlohmann::json;

// Guards against misaligned or swapped columns.
TEST(RenderTest, SettingsTable) {
  EXPECT_EQ(
      RenderAnswer(CommandKind::kSettingsGet,
                   json::parse(R"({"version":17,"path":"fleet/acme","values":{
                       "tier":{"value":1,"source":"fleet/acme"},
                       "idempotent":{"value":true,"source":""}}})")),
      "version 17, path fleet/acme\n"
      "KEY         VALUE  SOURCE\n"
      "idempotent  yes\n"
      "tier        1      fleet/acme\n");
}

// Guards against a history that shows only the first edit of a change.
TEST(RenderTest, HistoryShowsEveryEdit) {
  EXPECT_EQ(
      RenderAnswer(CommandKind::kSettingsHistory, json::parse(R"({"changes":[
          {"version":18,"change_id":"c1","operator":"ann",
           "time":"2026-12-04T07:30:00.000000Z",
           "edits":[{"path":"fleet","key":"tier","value":1},
                    {"path":"fleet","key":"model","remove":true}]}]})")),
      "VERSION  TIME                         OPERATOR  CHANGE  EDIT\n"
      "18       2026-12-04T07:30:00.000000Z  ann       c1      + fleet tier = "
      "1\n"
      "                                                        - fleet "
      "model\n");
}

// Guards against a status that does not show which VMs are unreachable.
TEST(RenderTest, StatusShowsVotersAndPeers) {
  const std::string text = RenderAnswer(
      CommandKind::kStatus,
      json::parse(R"({"vm":"vm1","ready":true,"further_losses_survived":1,
          "voters":[{"vm":"vm2","failure_domain":"fd2","reachable":false}],
          "peers":[{"vm":"vm2","address":"10.0.0.2:1","connected":false}]})"));
  EXPECT_NE(text.find("further_losses_survived  1\n"), std::string::npos);
  EXPECT_NE(text.find("vm2  fd2             no\n"), std::string::npos);
  EXPECT_NE(text.find("vm2  10.0.0.2:1  no\n"), std::string::npos) << text;
}

// Guards against duties that look up to date, or in order, when they are not.
TEST(RenderTest, DutiesShowHolderReportsOrdersAndHolds) {
  const json answer = json::parse(R"({"current":true,
      "holder":{"vm":"vm1","process":5,"term":3,"token":7},
      "open_windows":[{"window":41,"accounts":2,"requests":90}],
      "last_settled_window":40,"abandoned_windows":0,
      "orders":[{"service":"chat","failure_domain":"fd1","tenure":"reclaimable",
                 "count":3,"token":6}],
      "holds":[{"service":"mail","operator":"ann"}]})");
  EXPECT_EQ(RenderAnswer(CommandKind::kDuties, answer),
            "DUTIES\n"
            "holder               vm1\n"
            "token                7\n"
            "term                 3\n"
            "last settled window  40\n"
            "abandoned windows    0\n"
            "\nUsage reports that are agreed and not accepted\n"
            "WINDOW  ACCOUNTS  REQUESTS\n"
            "41      2         90\n"
            "\nLast accepted orders\n"
            "SERVICE  FAILURE DOMAIN  TENURE       COUNT  TOKEN\n"
            "chat     fd1             reclaimable  3      6\n"
            "\nServices on hold\n"
            "SERVICE  OPERATOR\n"
            "mail     ann\n");
  json stale = answer;
  stale["current"] = false;
  EXPECT_EQ(
      RenderAnswer(CommandKind::kDuties, stale).find("may be out of date"), 0U);
}

// Guards against a timeline that looks complete although a VM did not answer.
TEST(RenderTest, TimelineNamesUnreachableVms) {
  const std::string text = RenderAnswer(
      CommandKind::kTimeline,
      json::parse(R"({"events":[],"overwritten":0,"truncated":false,
          "complete_after":{"wall_micros":0,"counter":0},
          "unreachable_vms":["vm3"]})"));
  EXPECT_NE(text.find("No events from vm3, which did not answer.\n"),
            std::string::npos);
}

// Guards against a crash when the answer of another release lacks a field, and
// against names with control characters that change the terminal's state.
TEST(RenderTest, ToleratesMissingFieldsAndControlCharacters) {
  for (const CommandKind kind :
       {CommandKind::kSettingsGet, CommandKind::kSettingsSet,
        CommandKind::kSettingsHistory, CommandKind::kServers,
        CommandKind::kEngines, CommandKind::kEnginesSet, CommandKind::kStatus,
        CommandKind::kTimeline, CommandKind::kDrain, CommandKind::kDuties,
        CommandKind::kDutiesHold}) {
    EXPECT_FALSE(RenderAnswer(kind, json::object()).empty());
  }
  const std::string text = RenderAnswer(
      CommandKind::kServers,
      {{"servers", {{{"server", "a\x1b[2J"}, {"targets", {"m1", "m2"}}}}}});
  EXPECT_EQ(text.find('\x1b'), std::string::npos);
  EXPECT_NE(text.find("m1,m2"), std::string::npos);
}

}  // namespace
}  // namespace camphorsail::ctl
