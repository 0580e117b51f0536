#ifndef CAMPHORSAIL_PROCESS_LOG_SCHEMA_PAGE_H_
#define CAMPHORSAIL_PROCESS_LOG_SCHEMA_PAGE_H_

#include <string>

namespace camphorsail {

/// @return The log events and fields as tables in Markdown. docs/OPERATIONS.md
/// contains this text; a test compares the two.
std::string RenderLogSchema();

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PROCESS_LOG_SCHEMA_PAGE_H_
