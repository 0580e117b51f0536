#ifndef CAMPHORSAIL_PLACEMENT_PROMPT_PART_H_
#define CAMPHORSAIL_PLACEMENT_PROMPT_PART_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/units.h"

namespace camphorsail {

/// One part of a prompt. Engines cache the parts and reuse them for requests
/// whose prompts begin with the same parts.
struct PromptPart {
  /// Identifies the content of the part.
  std::string id;
  /// Length of the part.
  Tokens tokens;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_PROMPT_PART_H_
