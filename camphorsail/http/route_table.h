#ifndef CAMPHORSAIL_HTTP_ROUTE_TABLE_H_
#define CAMPHORSAIL_HTTP_ROUTE_TABLE_H_

#include <functional>
#include <string>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/http/http_request.h"
#include "camphorsail/http/http_response.h"

namespace camphorsail {

/// Maps method and path prefix to a handler. Must be filled before a server
/// uses it and not be changed afterwards.
class RouteTable {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// @param method For example `GET`.
  /// @param path_prefix The whole path or, when it ends in `/`, a prefix of the
  ///     path. The longest match wins.
  /// @param handler Called on worker threads, at the same time for several
  /// requests. It may block and must be thread-safe.
  void Add(std::string method, std::string path_prefix, Handler handler);

  /// @param error Any error.
  /// @param request The request's id, which is written into the answer.
  /// @return The error answer with its headers.
  static HttpResponse ErrorResponse(const Error& error, RequestId request);

  /// @return The answer of the handler, or `kNotFound` or `kMethodNotAllowed`.
  HttpResponse Handle(const HttpRequest& request, RequestId id) const;
  /// @return True when a handler has this path, for any method.
  bool HasPath(const std::string& path) const;

 private:
  struct Route {
    std::string method;
    std::string path_prefix;
    Handler handler;
  };
  static bool Matches(const Route& route, const std::string& path);

  std::vector<Route> routes_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_ROUTE_TABLE_H_
