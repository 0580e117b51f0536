#ifndef CAMPHORSAIL_EXPLAIN_REQUEST_CAUSE_H_
#define CAMPHORSAIL_EXPLAIN_REQUEST_CAUSE_H_

#include <string>
#include <vector>

#include "camphorsail/explain/request_story.h"

namespace camphorsail {

/// Why a request ended as it did, as far as the logs tell.
struct RequestCause {
  /// A word for filters, such as `server_lost`.
  std::string code;
  /// For a reader.
  std::string text;
  /// The lines that speak for it; of the story that was given.
  std::vector<const LogLine*> evidence;
};

/// @param story Finished, and alive while the evidence is used.
/// @return The cause, or what is missing in the logs to name one.
RequestCause FindCause(const RequestStory& story);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_EXPLAIN_REQUEST_CAUSE_H_
