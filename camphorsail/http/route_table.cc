#include "camphorsail/http/route_table.h"

#include <utility>

#include "absl/strings/match.h"
#include "camphorsail/entry/error_answer.h"

namespace camphorsail {

void RouteTable::Add(std::string method,
                     std::string path_prefix,
                     Handler handler) {
  routes_.push_back(
      {std::move(method), std::move(path_prefix), std::move(handler)});
}

HttpResponse RouteTable::ErrorResponse(const Error& error, RequestId request) {
  HttpResponse response;
  response.status = GetErrorTraits(error.kind).http_status;
  response.body = ErrorAnswerBody(error, request);
  response.headers.emplace_back("X-Request-Id", FormatRequestId(request));
  if (const int seconds = RetryAfterSeconds(error); seconds > 0) {
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

bool RouteTable::Matches(const Route& route, const std::string& path) {
  return path == route.path_prefix ||
         (route.path_prefix.back() == '/' &&
          absl::StartsWith(path, route.path_prefix));
}

bool RouteTable::HasPath(const std::string& path) const {
  for (const Route& route : routes_) {
    if (Matches(route, path)) {
      return true;
    }
  }
  return false;
}

HttpResponse RouteTable::Handle(const HttpRequest& request,
                                RequestId id) const {
  const Route* best = nullptr;
  for (const Route& route : routes_) {
    if (route.method == request.method && Matches(route, request.path) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  if (best != nullptr) {
    return best->handler(request);
  }
  if (HasPath(request.path)) {
    return ErrorResponse({ErrorKind::kMethodNotAllowed,
                          "this path does not support this method"},
                         id);
  }
  return ErrorResponse({ErrorKind::kNotFound, "there is no such path"}, id);
}

}  // namespace camphorsail
