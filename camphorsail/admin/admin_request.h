#ifndef CAMPHORSAIL_ADMIN_ADMIN_REQUEST_H_
#define CAMPHORSAIL_ADMIN_ADMIN_REQUEST_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/error.h"
#include "camphorsail/http/http_request.h"
#include "camphorsail/http/http_response.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// @param allowed Names of the query parameters that the resource accepts.
/// @return Success, or `kInvalidRequest` naming a parameter that is not
/// allowed.
Expected<void> CheckQuery(const HttpRequest& request,
                          std::initializer_list<std::string_view> allowed);

/// @return The parameter's value, `fallback` when it is absent, or
///     `kInvalidRequest` when it is not an integer from `min` to `max`.
Expected<int64_t> IntegerParameter(const HttpRequest& request,
                                   const std::string& name,
                                   int64_t min,
                                   int64_t max,
                                   int64_t fallback);

/// @return The parameter's value, nothing when it is absent, or
///     `kInvalidRequest` when it is not a time in RFC 3339 form.
Expected<std::optional<absl::Time>> TimeParameter(const HttpRequest& request,
                                                  const std::string& name);

/// @return The body, or `kInvalidRequest` when it is not a JSON object.
Expected<nlohmann::json> ParseBody(const HttpRequest& request);

/// @return A response with `body` as JSON text; invalid UTF-8 is replaced.
HttpResponse JsonResponse(const nlohmann::json& body);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ADMIN_ADMIN_REQUEST_H_
