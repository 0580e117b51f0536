#include "ctl/explain_request.h"

#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "camphorsail/explain/render_story.h"
#include "camphorsail/explain/request_cause.h"
#include "camphorsail/explain/request_story.h"
#include "ctl/exit_code.h"
#include "nlohmann/json.hpp"

namespace camphorsail::ctl {
namespace {

void TakeLines(std::istream& input, RequestStory* story) {
  std::string line;
  while (std::getline(input, line)) {
    story->Take(line);
  }
}

}  // namespace

CommandResult ExplainRequest(const Command& command, std::istream& input) {
  CommandResult result;
  RequestStory story(command.request);
  if (command.files.empty()) {
    TakeLines(input, &story);
  }
  for (const std::string& path : command.files) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      result.exit_code = kExitFailure;
      absl::StrAppend(&result.errors, "camphorsailctl: cannot read ", path,
                      "\n");
      continue;
    }
    TakeLines(file, &story);
  }
  story.Finish();
  const RequestCause cause = FindCause(story);
  result.output =
      command.json ? StoryToJson(story, cause, command.around)
                             .dump(2, ' ', false,
                                   nlohmann::json::error_handler_t::replace) +
                         "\n"
                   : RenderStory(story, cause, command.around);
  if (story.lines().empty()) {
    result.exit_code = kExitFailure;
  }
  return result;
}

}  // namespace camphorsail::ctl
