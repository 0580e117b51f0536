#include "camphorsail/process/log_schema.h"

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "camphorsail/process/log_name.h"
#include "camphorsail/process/log_schema_page.h"
#include "gtest/gtest.h"

namespace camphorsail {
namespace {

bool IsSnakeCase(std::string_view name) {
  return !name.empty() &&
         name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789_") ==
             std::string_view::npos;
}

// Guards against names that are listed twice, and against fields that are not
// in alphabetical order.
TEST(LogSchemaTest, NamesAreUnique) {
  std::set<std::string_view> names;
  for (const LogEventSpec& event : kLogEvents) {
    EXPECT_TRUE(names.insert(event.name).second) << event.name;
    EXPECT_TRUE(IsSnakeCase(event.name)) << event.name;
    EXPECT_FALSE(event.meaning.empty()) << event.name;
  }
  std::string_view last;
  for (const LogFieldSpec& field : kLogFields) {
    EXPECT_LT(last, field.name);
    EXPECT_TRUE(IsSnakeCase(field.name)) << field.name;
    EXPECT_FALSE(field.meaning.empty()) << field.name;
    last = field.name;
  }
}

// Guards against a lookup that misses a listed name or accepts a part of one.
TEST(LogSchemaTest, NamesAreFound) {
  EXPECT_EQ(LogEventName::Find("lease_lost")->text(), "lease_lost");
  EXPECT_FALSE(LogEventName::Find("lease"));
  EXPECT_EQ(LogFieldName::Find("server")->text(), "server");
  EXPECT_FALSE(LogFieldName::Find(""));
}

// Guards against an operations page with outdated log events. On failure,
// replace the tables of the page by the output of `camphorsailctl log-events`.
TEST(LogSchemaTest, PageHasTheTables) {
  std::ifstream file(CAMPHORSAIL_SOURCE_DIR "/docs/OPERATIONS.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(RenderLogSchema()), std::string::npos);
}

}  // namespace
}  // namespace camphorsail
