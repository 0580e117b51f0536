#include "camphorsail/http/http_request.h"

namespace camphorsail {
namespace {

const std::string& FindFirst(
    const std::vector<std::pair<std::string, std::string>>& pairs,
    const std::string& name) {
  static const std::string absent;
  for (const auto& [key, value] : pairs) {
    if (key == name) {
      return value;
    }
  }
  return absent;
}

}  // namespace

const std::string& HttpRequest::Header(const std::string& name) const {
  return FindFirst(headers, name);
}

const std::string& HttpRequest::Query(const std::string& name) const {
  return FindFirst(query, name);
}

}  // namespace camphorsail
