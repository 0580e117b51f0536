#ifndef CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_
#define CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>

#include "camphorsail/gateway/http_headers.h"

namespace camphorsail {

/// Collects the header callbacks of the parser, which come in pieces, into
/// whole headers.
class HeaderCollector {
 public:
  void OnField(const char* data, size_t size) {
    if (in_value_) {
      Flush();
    }
    name_.append(data, size);
    bytes_ += size;
  }
  void OnValue(const char* data, size_t size) {
    in_value_ = true;
    value_.append(data, size);
    bytes_ += size;
  }
  /// @return All headers so far; the collector is empty afterwards.
  HttpHeaders Take() {
    if (in_value_ || !name_.empty()) {
      Flush();
    }
    bytes_ = 0;
    return std::exchange(headers_, HttpHeaders());
  }
  /// @return Bytes of names and values since `Take`.
  size_t bytes() const { return bytes_; }

 private:
  void Flush() {
    headers_.Add(std::exchange(name_, {}), std::exchange(value_, {}));
    in_value_ = false;
  }

  std::string name_;
  std::string value_;
  bool in_value_ = false;
  size_t bytes_ = 0;
  HttpHeaders headers_;
};

/// @tparam Connection Type of the object that the parser's `data` points to.
/// @tparam kCollector Its collector.
/// @return Settings of a parser whose header callbacks fill the collector; the
/// others are empty.
template <typename Connection, HeaderCollector Connection::*kCollector>
http_parser_settings CollectHeaders() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_header_field = [](http_parser* parser, const char* data,
                                size_t size) {
    (static_cast<Connection*>(parser->data)->*kCollector).OnField(data, size);
    return 0;
  };
  settings.on_header_value = [](http_parser* parser, const char* data,
                                size_t size) {
    (static_cast<Connection*>(parser->data)->*kCollector).OnValue(data, size);
    return 0;
  };
  return settings;
}

/// @return True when every name is a token and no value has control characters,
/// which the parser does not check in full.
bool AreHeadersClean(const HttpHeaders& headers);

/// @return True for headers that concern one connection only: those of HTTP and
/// those that a `Connection` header names.
bool IsHopHeader(const HttpHeaders& headers, std::string_view name);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_
