#include "ctl/check_config.h"

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/error.h"
#include "camphorsail/routing/routing_comparison.h"
#include "camphorsail/routing/routing_review.h"
#include "ctl/exit_code.h"
#include "nlohmann/json.hpp"
#include "platform/routing_document.h"

namespace camphorsail::ctl {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;

/// @return The document to compare with; nothing when there is none.
Expected<std::optional<std::string>> ReadOther(const Command& command,
                                               const AdminCall& call) {
  if (command.against_text.has_value() || command.admin_url.empty()) {
    return command.against_text;
  }
  const AdminResponse response =
      call({"GET", platform::kRoutingDocumentPath, ""});
  if (response.outcome != AdminOutcome::kAnswered ||
      response.status != kStatusOk) {
    return Fail(ErrorKind::kNotReady,
                absl::StrCat(command.admin_url, ": ",
                             response.outcome == AdminOutcome::kAnswered
                                 ? absl::StrCat("status ", response.status)
                                 : response.error));
  }
  return response.body;
}

/// What is known about the document.
struct Report {
  std::optional<std::string> error;
  std::vector<RoutingFinding> warnings;
  /// Nothing when there is no document to compare with.
  std::optional<std::vector<std::string>> changes;
};

std::string Render(const Report& report) {
  std::string text;
  if (report.error.has_value()) {
    absl::StrAppend(&text, "error: ", *report.error, "\n");
  }
  for (const RoutingFinding& warning : report.warnings) {
    absl::StrAppend(&text, "warning: ", warning.place, ": ", warning.message,
                    "\n");
  }
  if (!report.error.has_value() && report.warnings.empty()) {
    text += "no errors or warnings\n";
  }
  if (report.changes.has_value()) {
    text += report.changes->empty() ? "no changes\n" : "changes:\n";
    for (const std::string& change : *report.changes) {
      absl::StrAppend(&text, "  ", change, "\n");
    }
  }
  return text;
}

std::string RenderJson(const Report& report) {
  json answer = {{"errors", json::array()}, {"warnings", json::array()}};
  if (report.error.has_value()) {
    answer["errors"].push_back(*report.error);
  }
  for (const RoutingFinding& warning : report.warnings) {
    answer["warnings"].push_back(
        {{"place", warning.place}, {"message", warning.message}});
  }
  if (report.changes.has_value()) {
    answer["changes"] = *report.changes;
  }
  return answer.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace

CommandResult CheckConfig(const Command& command, const AdminCall& call) {
  CommandResult result;
  Report report;
  const Expected<RoutingTable> table =
      platform::ParseRoutingDocument(command.file_text);
  if (!table) {
    report.error = table.error().message;
    result.exit_code = kExitFailure;
  } else {
    report.warnings = ReviewRoutingTable(*table);
    result.exit_code = report.warnings.empty() ? kExitSuccess : kExitWarnings;
    const Expected<std::optional<std::string>> other = ReadOther(command, call);
    const Expected<RoutingTable> other_table =
        other ? platform::ParseRoutingDocument(other->value_or(""))
              : tl::unexpected<Error>(other.error());
    if (!other || (other->has_value() && !other_table)) {
      absl::StrAppend(&result.errors,
                      "camphorsailctl: cannot read the other document: ",
                      other_table.error().message, "\n");
      result.exit_code = kExitFailure;
    } else if (other->has_value()) {
      report.changes = CompareRoutingTables(*other_table, *table);
    }
  }
  result.output = command.json ? RenderJson(report) : Render(report);
  return result;
}

}  // namespace camphorsail::ctl
