#include "camphorsail/gateway/http_parse.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "camphorsail/http/http_characters.h"

namespace camphorsail {
namespace {

constexpr std::array<const char*, 8> kHopByHopHeaders = {
    "connection", "keep-alive", "transfer-encoding", "te",
    "trailer",    "upgrade",    "proxy-connection",  "proxy-authentication"};

}  // namespace

bool AreHeadersValid(const HttpHeaders& headers) {
  return std::all_of(headers.items().begin(), headers.items().end(),
                     [](const HttpHeaders::Item& item) {
                       return !item.first.empty() &&
                              std::all_of(item.first.begin(), item.first.end(),
                                          IsTokenCharacter) &&
                              std::all_of(item.second.begin(),
                                          item.second.end(), IsValueCharacter);
                     });
}

HopByHopHeaders::HopByHopHeaders(const HttpHeaders& headers)
    : names_(kHopByHopHeaders.begin(), kHopByHopHeaders.end()) {
  for (const HttpHeaders::Item& item : headers.items()) {
    if (!absl::EqualsIgnoreCase(item.first, "connection")) {
      continue;
    }
    for (const absl::string_view option : absl::StrSplit(item.second, ',')) {
      names_.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(option)));
    }
  }
}

bool HopByHopHeaders::Contains(std::string_view name) const {
  return names_.contains(
      absl::AsciiStrToLower(absl::string_view(name.data(), name.size())));
}

}  // namespace camphorsail
