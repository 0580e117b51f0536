#ifndef CAMPHORSAIL_HTTP_HTTP_REQUEST_H_
#define CAMPHORSAIL_HTTP_HTTP_REQUEST_H_

#include <string>
#include <utility>
#include <vector>

namespace camphorsail {

/// One HTTP request as received. `body` is empty until it has arrived.
struct HttpRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  /// Decoded path without the query.
  std::string path;
  /// Decoded names and values of the query, in the order sent.
  std::vector<std::pair<std::string, std::string>> query;
  /// Names, in lower case, and values.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Numeric address of the client.
  std::string client_address;

  /// @param name In lower case.
  /// @return The first value; empty when absent.
  const std::string& Header(const std::string& name) const;
  /// @return The first value; empty when absent.
  const std::string& Query(const std::string& name) const;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_HTTP_REQUEST_H_
