#include <fstream>
#include <regex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/process/options.h"
#include "gtest/gtest.h"

// Tests that the settings templates of deploy/ accept every legal value that
// the platform may fill in.
namespace camphorsail {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Fills in a template.
/// @param figure Value of each limit and bound that is not a fraction.
/// @param has_provider Whether the optional sections have values.
std::string Render(std::string text,
                   const std::string& figure,
                   bool has_provider) {
  text = std::regex_replace(
      text,
      std::regex(has_provider ? R"(\{\{[#/][\w.]+\}\}\n)"
                              : R"(\{\{#([\w.]+)\}\}[^]*?\{\{/\1\}\}\n)"),
      "");
  const std::pair<const char*, std::string> values[] = {
      {R"(\{\{ip\}\})", "10.1.0.40"},
      {R"(\{\{(region|zone)\}\})", "place"},
      {R"(\{\{seeds\}\})", "10.1.0.42:8229,10.2.0.30:8229"},
      {R"(\{\{internalPorts\.0\}\})", "7340"},
      {R"(\{\{internalPorts\.1\}\})", "7355"},
      {R"(\{\{listen\.\w+\}\})", "10.1.0.40:8227"},
      {R"(\{\{bootstrap\}\})", "true"},
      {R"(\{\{tolerate\.\w+\}\})", "2"},
      {R"(\{\{dataDir\}\})", "data"},
      {R"(\{\{bounds\.retryRatio\}\})", "0.25"},
      {R"(\{\{(bounds|limits)\.\w+\}\})", figure},
      {R"(\{\{cloud\.address\}\})", "10.200.0.113:8424"},
      {R"(\{\{cloud\.duties\}\})", "usage,scale,another"},
      {R"(\{\{cloud\.dutyPerS\}\})", figure},
  };
  for (const auto& [pattern, value] : values) {
    text = std::regex_replace(text, std::regex(pattern), value);
  }
  return text;
}

// Guards against processes that end at their start because a figure of the
// deployment is not an integer.
TEST(SettingsTemplateTest, FiguresMayHaveDecimals) {
  const std::string root = CAMPHORSAIL_SOURCE_DIR;
  for (const char* name : {"gateway.settings", "control.settings"}) {
    for (const auto& [figure, has_provider] :
         std::vector<std::pair<const char*, bool>>{{"32", false},
                                                   {"32.7360001", false},
                                                   {"8.0", false},
                                                   {"1e2", false},
                                                   {"32", true},
                                                   {"32.7360001", true},
                                                   {"8.0", true},
                                                   {"1e2", true}}) {
      std::string text = Render(ReadFile(absl::StrCat(root, "/deploy/", name)),
                                figure, has_provider);
      ASSERT_EQ(text.find("{{"), std::string::npos) << text;
      text = std::regex_replace(text, std::regex("deploy/"),
                                absl::StrCat(root, "/deploy/"));
      const std::string path = absl::StrCat(testing::TempDir(), "/", name);
      std::ofstream(path) << text;
      const OptionsOutcome outcome =
          ParseOptions({"camphorsaild"}, {{"CAMPHORSAIL_NODE_FILE", path}});
      EXPECT_TRUE(outcome.options)
          << name << " " << figure << ": " << outcome.errors;
    }
  }
}

}  // namespace
}  // namespace camphorsail
