#ifndef CAMPHORSAIL_EXPLAIN_REQUEST_STORY_H_
#define CAMPHORSAIL_EXPLAIN_REQUEST_STORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/explain/log_line.h"

namespace camphorsail {

/// What the logs of several processes say about one request: its own lines, and
/// the changes of what processes believed near it. Lines may come in any order;
/// the hybrid clock orders them.
class RequestStory {
 public:
  /// @param request As in the field `request`.
  explicit RequestStory(std::string request) : request_(std::move(request)) {}

  /// Takes one line of any log; lines of other requests and of other programs
  /// are passed over.
  void Take(std::string_view text);
  /// Puts the lines in order. Call after the last line.
  void Finish();

  const std::string& request() const { return request_; }
  /// @return The request's own lines.
  const std::vector<LogLine>& lines() const { return lines_; }
  /// @return The changes of belief up to `around` before the request's first
  /// line and after its last.
  std::vector<const LogLine*> ChangesAround(absl::Duration around) const;
  /// @return Changes of belief of one VM, or of all when `vm` is empty, in a
  /// span of the hybrid clock, both ends included.
  std::vector<const LogLine*> Changes(std::string_view vm,
                                      std::string_view event,
                                      int64_t from_micros,
                                      int64_t to_micros) const;
  /// @return Lines that the logs say were left out.
  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  const std::string request_;
  std::vector<LogLine> lines_;
  std::vector<LogLine> changes_;
  uint64_t dropped_lines_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_EXPLAIN_REQUEST_STORY_H_
