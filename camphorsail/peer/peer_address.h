#ifndef CAMPHORSAIL_PEER_PEER_ADDRESS_H_
#define CAMPHORSAIL_PEER_PEER_ADDRESS_H_

#include <compare>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/network_address.h"

namespace camphorsail {

/// Another VM's id and the address on which its daemon listens for peers.
struct PeerAddress {
  VmId vm;
  NetworkAddress address;

  friend auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PEER_PEER_ADDRESS_H_
