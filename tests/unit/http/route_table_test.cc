#include "camphorsail/http/route_table.h"

#include "gtest/gtest.h"

namespace camphorsail {
namespace {

HttpRequest Get(const std::string& path, const std::string& method = "GET") {
  HttpRequest request;
  request.method = method;
  request.path = path;
  return request;
}

RouteTable::Handler Named(const std::string& name) {
  return [name](const HttpRequest&) {
    HttpResponse response;
    response.body = name;
    return response;
  };
}

// Guards against a handler of a shorter prefix that hides a longer one.
TEST(RouteTableTest, LongestPrefixWins) {
  RouteTable routes;
  routes.Add("GET", "/admin/v1/", Named("all"));
  routes.Add("GET", "/admin/v1/settings/history", Named("history"));
  EXPECT_EQ(routes.Handle(Get("/admin/v1/servers"), RequestId(1)).body, "all");
  EXPECT_EQ(routes.Handle(Get("/admin/v1/settings/history"), RequestId(1)).body,
            "history");
}

// Guards against a path without a final slash that also matches longer paths.
TEST(RouteTableTest, PathWithoutSlashMatchesWhole) {
  RouteTable routes;
  routes.Add("GET", "/healthz", Named("ok"));
  EXPECT_EQ(routes.Handle(Get("/healthzx"), RequestId(1)).status, 404);
  EXPECT_FALSE(routes.HasPath("/healthz/x"));
}

// Guards against answers to unknown paths and methods whose status or code is
// not that of the error table.
TEST(RouteTableTest, UnknownPathsAndMethodsGetTableErrors) {
  RouteTable routes;
  routes.Add("GET", "/healthz", Named("ok"));
  const HttpResponse method =
      routes.Handle(Get("/healthz", "DELETE"), RequestId(255));
  EXPECT_EQ(method.status, 405);
  EXPECT_NE(method.body.find("\"method_not_allowed\""), std::string::npos);
  EXPECT_NE(method.body.find("00000000000000ff"), std::string::npos);
  EXPECT_EQ(routes.Handle(Get("/"), RequestId(1)).status, 404);
}

// Guards against a `Retry-After` header in errors that a retry cannot resolve,
// and against its absence in the others.
TEST(RouteTableTest, RetryAfterFollowsTheTable) {
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
