#ifndef CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_
#define CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/placement/prompt_part.h"

namespace camphorsail {

/// The information that the gateway reads from the headers of a request.
struct CallerRequest {
  /// Id that the caller chose; different each time the caller sends the
  /// request.
  std::string request_id;
  /// Time for which the caller waits for the answer, from the arrival of the
  /// request; infinite when the caller does not state it.
  absl::Duration caller_timeout = absl::InfiniteDuration();
  std::string api_key;
  std::string model;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  /// Parts of the prompt in their order. The last part belongs to this request
  /// only; the others may be shared with other requests.
  std::vector<PromptPart> prompt_parts;
  /// Id of the last event of a stream that the caller has received already.
  std::optional<uint64_t> last_event;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_
