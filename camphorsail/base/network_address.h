#ifndef CAMPHORSAIL_BASE_NETWORK_ADDRESS_H_
#define CAMPHORSAIL_BASE_NETWORK_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"

namespace camphorsail {

/// An IP address and a port. Host names are not resolved.
struct NetworkAddress {
  /// Numeric IPv4 or IPv6 address without brackets, in the canonical form that
  /// `ParseNetworkAddress` gives, so that equal addresses compare equal.
  std::string ip;
  /// Zero asks for an ephemeral port when listening.
  uint16_t port = 0;

  friend auto operator<=>(const NetworkAddress&,
                          const NetworkAddress&) = default;
};

/// @param text `a.b.c.d:port` or `[v6]:port`.
/// @return The address. Error: `kInvalidRequest`.
Expected<NetworkAddress> ParseNetworkAddress(std::string_view text);

/// @return The address in the form that `ParseNetworkAddress` reads.
std::string ToString(const NetworkAddress& address);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_NETWORK_ADDRESS_H_
