#ifndef CAMPHORSAIL_HTTP_HTTP_RESPONSE_H_
#define CAMPHORSAIL_HTTP_HTTP_RESPONSE_H_

#include <string>
#include <utility>
#include <vector>

namespace camphorsail {

/// Status and headers of an answer, and its body unless the answer is streamed.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  /// Headers besides `Content-Type` and `Content-Length`.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_HTTP_RESPONSE_H_
