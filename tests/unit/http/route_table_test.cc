#include "camphorsail/http/route_table.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

HttpRequest MakeHttpRequest(const std::string& path,
                            const std::string& method = "GET") {
  HttpRequest request;
  request.method = method;
  request.path = path;
  return request;
}

RouteTable::Handler NamedHandler(const std::string& name) {
  return [name](const HttpRequest&) {
    HttpResponse response;
    response.body = name;
    return response;
  };
}

// Guards against a handler of a shorter prefix that hides a longer one.
TEST(RouteTableTest, LongestPrefixWins) {
  RouteTable routes;
  routes.Add("GET", "/admin/v1/", NamedHandler("all"));
  routes.Add("GET", "/admin/v1/settings/history", NamedHandler("history"));
  EXPECT_EQ(
      routes.Handle(MakeHttpRequest("/admin/v1/servers"), RequestId(1)).body,
      "all");
  EXPECT_EQ(
      routes.Handle(MakeHttpRequest("/admin/v1/settings/history"), RequestId(1))
          .body,
      "history");
}

// Guards against a path without a final slash that also matches longer paths.
TEST(RouteTableTest, PathWithoutSlashMatchesOnlyItself) {
  RouteTable routes;
  routes.Add("GET", "/healthz", NamedHandler("ok"));
  EXPECT_EQ(routes.Handle(MakeHttpRequest("/healthzx"), RequestId(1)).status,
            404);
  EXPECT_FALSE(routes.HasPath("/healthz/x"));
}

// Guards against answers to unknown paths and methods whose status or code is
// not that of the error table.
TEST(RouteTableTest, UnknownPathsAndMethodsGiveErrorsOfTheTable) {
  RouteTable routes;
  routes.Add("GET", "/healthz", NamedHandler("ok"));
  const HttpResponse method =
      routes.Handle(MakeHttpRequest("/healthz", "DELETE"), RequestId(255));
  EXPECT_EQ(method.status, 405);
  EXPECT_NE(method.body.find("\"method_not_allowed\""), std::string::npos);
  EXPECT_NE(method.body.find("00000000000000ff"), std::string::npos);
  EXPECT_EQ(routes.Handle(MakeHttpRequest("/"), RequestId(1)).status, 404);
}

// Guards against a `Retry-After` header in errors that a retry cannot resolve,
// and against its absence in the others.
TEST(RouteTableTest, RetryAfterFollowsTheErrorTable) {
  const auto has_retry = [](ErrorKind kind) {
    for (const auto& [name, value] :
         RouteTable::ErrorResponse({kind, ""}, RequestId(1)).headers) {
      if (name == "Retry-After") {
        return true;
      }
    }
    return false;
  };
  EXPECT_TRUE(has_retry(ErrorKind::kOverloaded));
  EXPECT_FALSE(has_retry(ErrorKind::kForbidden));
}

}  // namespace
}  // namespace camphorsail
