#ifndef CAMPHORSAIL_SCALING_SERVER_ORDER_H_
#define CAMPHORSAIL_SCALING_SERVER_ORDER_H_

#include <compare>
#include <cstdint>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// How a provider rents a server.
enum class ServerTenure : uint8_t {
  /// Kept until it is given back.
  kRegular,
  /// Cheaper; the provider may reclaim all such servers of a failure domain at
  /// the same time, with a short notice.
  kReclaimable,
};

/// @return The name of the tenure in logs and for operators.
constexpr const char* ToString(ServerTenure tenure) {
  return tenure == ServerTenure::kRegular ? "regular" : "reclaimable";
}

/// What an order for servers is about: the servers of one service and tenure in
/// one failure domain.
struct ServerOrderSubject {
  ModelId service;
  FailureDomainId failure_domain;
  ServerTenure tenure = ServerTenure::kRegular;

  friend auto operator<=>(const ServerOrderSubject&,
                          const ServerOrderSubject&) = default;
  MSGPACK_DEFINE(service, failure_domain, tenure)
};

/// The number of servers that the provider is to run.
struct ServerOrder {
  ServerOrderSubject subject;
  int count = 0;

  friend bool operator==(const ServerOrder&, const ServerOrder&) = default;
  MSGPACK_DEFINE(subject, count)
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::ServerTenure)

#endif  // CAMPHORSAIL_SCALING_SERVER_ORDER_H_
