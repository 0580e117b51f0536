#ifndef CAMPHORSAIL_HTTP_JSON_BODY_H_
#define CAMPHORSAIL_HTTP_JSON_BODY_H_

#include <string_view>

#include "camphorsail/base/error.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// Parses JSON that another process sent. Bounds the nesting, because each
/// level of a document takes many times its bytes of memory, and because
/// functions that walk through the document call themselves for each level.
/// @return The document; `kInvalidRequest` when it is not valid JSON, has a
/// number that cannot be represented, or is nested too deeply.
Expected<nlohmann::json> ParseJsonBody(std::string_view text);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_JSON_BODY_H_
