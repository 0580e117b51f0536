#include "camphorsail/base/network_address.h"

#include <arpa/inet.h>

#include <array>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace camphorsail {
namespace {

/// @return The IP address in its canonical form; empty when `text` is not an IP
/// address.
std::string CanonicalIp(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> binary;
  std::array<char, INET6_ADDRSTRLEN> canonical;
  for (int family : {AF_INET, AF_INET6}) {
    if (inet_pton(family, text.c_str(), binary.data()) == 1 &&
        inet_ntop(family, binary.data(), canonical.data(), canonical.size()) !=
            nullptr) {
      return canonical.data();
    }
  }
  return {};
}

}  // namespace

Expected<NetworkAddress> ParseNetworkAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::kInvalidRequest,
                "expected IP:port, for example 127.0.0.1:8080");
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  NetworkAddress address{CanonicalIp(std::string(host)), 0};
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string port_text(text.substr(colon + 1));
  uint32_t port = 0;
  const bool digits_only =
      !port_text.empty() &&
      port_text.find_first_not_of("0123456789") == std::string::npos;
  if (address.ip.empty() || is_v6 != bracketed) {
    return Fail(
        ErrorKind::kInvalidRequest,
        "expected a numeric IPv4 address or an IPv6 address in brackets");
  }
  if (!digits_only || !absl::SimpleAtoi(port_text, &port) || port > 65535) {
    return Fail(ErrorKind::kInvalidRequest, "expected a port from 0 to 65535");
  }
  address.port = static_cast<uint16_t>(port);
  return address;
}

std::string ToString(const NetworkAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? absl::StrCat("[", address.ip, "]:", address.port)
               : absl::StrCat(address.ip, ":", address.port);
}

}  // namespace camphorsail
