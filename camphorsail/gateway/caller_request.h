#ifndef CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_
#define CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/units.h"
#include "camphorsail/gateway/prompt_part.h"

namespace camphorsail {

/// What a request's headers say to the gateway.
struct CallerRequest {
  /// Chosen by the caller, new in each attempt of the caller.
  std::string request_id;
  /// How long the caller waits, from the arrival of the request; infinite when
  /// it does not say.
  absl::Duration patience = absl::InfiniteDuration();
  std::string api_key;
  std::string model;
  Tokens prompt_tokens;
  Tokens max_output_tokens;
  /// In the order of the prompt; the last one is the request's own.
  std::vector<PromptPart> prompt_parts;
  /// The caller has the events of a stream up to this one.
  std::optional<uint64_t> last_event;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_CALLER_REQUEST_H_
