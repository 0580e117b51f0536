#include <curl/curl.h>

#include <iostream>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "camphorsail/process/log_schema_page.h"
#include "camphorsail/process/options.h"
#include "ctl/admin_client.h"
#include "ctl/exit_code.h"
#include "ctl/explain_request.h"
#include "ctl/parse_command.h"
#include "ctl/run_command.h"

int main(int argc, char** argv) {
  using camphorsail::ProcessEnvironment;
  using camphorsail::ctl::AdminClient;
  using camphorsail::ctl::AdminRequest;
  using camphorsail::ctl::CommandKind;
  using camphorsail::ctl::CommandResult;
  using camphorsail::ctl::ParsedCommand;

  const ParsedCommand parsed = camphorsail::ctl::ParseCommand(
      std::vector<std::string>(argv, argv + argc), ProcessEnvironment(),
      absl::Now());
  std::cout << parsed.output;
  std::cerr << parsed.errors;
  if (!parsed.command) {
    return parsed.exit_code;
  }
  if (parsed.command->kind == CommandKind::kExplain) {
    const CommandResult result =
        camphorsail::ctl::ExplainRequest(*parsed.command, std::cin);
    std::cout << result.output;
    std::cerr << result.errors;
    return result.exit_code;
  }
  if (parsed.command->kind == CommandKind::kLogEvents) {
    std::cout << camphorsail::RenderLogSchema();
    return camphorsail::ctl::kExitSuccess;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  AdminClient client(parsed.command->admin_url, parsed.command->secret);
  const CommandResult result = camphorsail::ctl::RunCommand(
      *parsed.command,
      {[&client](const AdminRequest& request) { return client.Call(request); },
       [](absl::Duration duration) { absl::SleepFor(duration); },
       [](const std::string& line) { std::cerr << line << std::endl; }});
  curl_global_cleanup();
  std::cout << result.output;
  std::cerr << result.errors;
  return result.exit_code;
}
