#ifndef CAMPHORSAIL_GATEWAY_HTTP_HEADERS_H_
#define CAMPHORSAIL_GATEWAY_HTTP_HEADERS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/match.h"

namespace camphorsail {

/// HTTP headers; order and spelling are kept as received.
class HttpHeaders {
 public:
  using Item = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    items_.emplace_back(std::move(name), std::move(value));
  }
  /// @return The value of the first header with this name, compared without
  /// regard to case; null when there is none.
  const std::string* Find(absl::string_view name) const {
    for (const Item& item : items_) {
      if (absl::EqualsIgnoreCase(item.first, name)) {
        return &item.second;
      }
    }
    return nullptr;
  }
  /// @return Number of headers with this name.
  size_t Count(absl::string_view name) const {
    size_t count = 0;
    for (const Item& item : items_) {
      count += absl::EqualsIgnoreCase(item.first, name) ? 1 : 0;
    }
    return count;
  }
  const std::vector<Item>& items() const { return items_; }
  std::vector<Item>& items() { return items_; }

  /// Appends each header to `out` as a line `Name: value`.
  void AppendTo(std::string* out) const {
    for (const Item& item : items_) {
      out->append(item.first).append(": ").append(item.second).append("\r\n");
    }
  }

 private:
  std::vector<Item> items_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_HTTP_HEADERS_H_
