#ifndef CAMPHORSAIL_QUARANTINE_REQUEST_HASH_H_
#define CAMPHORSAIL_QUARANTINE_REQUEST_HASH_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/placement/prompt_part.h"
#include "camphorsail/quarantine/prompt_part_hash.h"

namespace camphorsail {

/// What stays the same when a caller sends a request again under another
/// request id.
struct RequestContent {
  /// Part of the identity, so that no account can have another's requests
  /// refused.
  ClientAccountId account;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view model;
  absl::Span<const PromptPart> prompt_parts;
  std::string_view body;
};

/// @return Identifies the request as a whole among the causes of crashes,
/// beside the hashes of its shared parts. Equal on all VMs; collisions cannot
/// be made.
PromptPartHash RequestHash(const RequestContent& content);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_QUARANTINE_REQUEST_HASH_H_
