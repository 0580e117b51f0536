#ifndef CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_
#define CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_

#include <http_parser.h>

#include <string>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "camphorsail/gateway/http_headers.h"

namespace camphorsail {

/// Assembles complete headers from the callbacks of the parser, which deliver
/// names and values in pieces.
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
  /// @return All collected headers; the collector is empty afterwards.
  HttpHeaders Take() {
    if (in_value_ || !name_.empty()) {
      Flush();
    }
    bytes_ = 0;
    return std::exchange(headers_, HttpHeaders());
  }
  /// @return Bytes of names and values since the last call of `Take`.
  size_t bytes() const { return bytes_; }
  /// @return Memory of the headers since the last call of `Take`. With many
  /// short headers it is a multiple of their bytes.
  size_t memory_bytes() const {
    return bytes_ + headers_.items().capacity() * sizeof(HttpHeaders::Item);
  }

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
/// @tparam kCollector Member of `Connection` that collects the headers.
/// @return Parser settings whose header callbacks fill the collector; the other
/// callbacks are not set.
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

/// Checks what the parser does not check completely.
/// @return True when every name is a token and no value contains control
/// characters.
bool AreHeadersValid(const HttpHeaders& headers);

/// The headers of one message that concern a single connection only and must
/// not be forwarded: the hop-by-hop headers of HTTP and the headers that are
/// listed in `Connection`.
class HopByHopHeaders {
 public:
  /// @param headers All headers of the message.
  explicit HopByHopHeaders(const HttpHeaders& headers);

  /// @param name Name of a header, in any case.
  bool Contains(std::string_view name) const;

 private:
  /// In lower case.
  absl::flat_hash_set<std::string> names_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_HTTP_PARSE_H_
