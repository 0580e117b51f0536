#include "camphorsail/process/log_schema_page.h"

#include <initializer_list>
#include <string_view>

#include "camphorsail/process/log_schema.h"

namespace camphorsail {
namespace {

void AddRow(std::initializer_list<std::string_view> cells, std::string* page) {
  for (const std::string_view cell : cells) {
    page->append("| ").append(cell).append(" ");
  }
  page->append("|\n");
}

std::string Code(std::string_view name) {
  std::string code(1, '`');
  code.append(name).append(1, '`');
  return code;
}

}  // namespace

std::string RenderLogSchema() {
  std::string page = "| event | written | meaning |\n|---|---|---|\n";
  for (const LogEventSpec& event : kLogEvents) {
    AddRow({Code(event.name),
            event.volume == LogVolume::kEveryLine ? "always" : "bounded",
            event.meaning},
           &page);
  }
  page.append("\n| field | meaning |\n|---|---|\n");
  for (const LogFieldSpec& field : kLogFields) {
    AddRow({Code(field.name), field.meaning}, &page);
  }
  return page;
}

}  // namespace camphorsail
