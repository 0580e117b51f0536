#include "camphorsail/admin/admin_request.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "camphorsail/http/json_body.h"

namespace camphorsail {

Expected<void> CheckQuery(const HttpRequest& request,
                          std::initializer_list<std::string_view> allowed) {
  for (const auto& [name, value] : request.query) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat("unknown query parameter '", name, "'"));
    }
  }
  return {};
}

Expected<int64_t> IntegerParameter(const HttpRequest& request,
                                   const std::string& name,
                                   int64_t min,
                                   int64_t max,
                                   int64_t fallback) {
  const std::string& text = request.Query(name);
  if (text.empty()) {
    return fallback;
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < min || value > max) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("parameter '", name, "' must be an integer from ",
                             min, " to ", max));
  }
  return value;
}

Expected<std::optional<absl::Time>> TimeParameter(const HttpRequest& request,
                                                  const std::string& name) {
  const std::string& text = request.Query(name);
  if (text.empty()) {
    return std::optional<absl::Time>();
  }
  absl::Time time;
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error)) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("parameter '", name,
                             "' must be a time such as 2026-12-04T07:30:00Z"));
  }
  return std::optional<absl::Time>(time);
}

Expected<nlohmann::json> ParseBody(const HttpRequest& request) {
  Expected<nlohmann::json> body = ParseJsonBody(request.body);
  if (body && !body->is_object()) {
    return Fail(ErrorKind::kInvalidRequest,
                "the request body is not a JSON object");
  }
  return body;
}

HttpResponse JsonResponse(const nlohmann::json& body) {
  HttpResponse response;
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.body.push_back('\n');
  return response;
}

}  // namespace camphorsail
