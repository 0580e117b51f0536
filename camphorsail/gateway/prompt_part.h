#ifndef CAMPHORSAIL_GATEWAY_PROMPT_PART_H_
#define CAMPHORSAIL_GATEWAY_PROMPT_PART_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/units.h"

namespace camphorsail {

/// One part of a prompt. Engines cache parts and reuse them between requests
/// whose prompts begin with the same ones.
struct PromptPart {
  std::string id;
  Tokens tokens;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_PROMPT_PART_H_
