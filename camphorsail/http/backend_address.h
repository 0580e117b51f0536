#ifndef CAMPHORSAIL_HTTP_BACKEND_ADDRESS_H_
#define CAMPHORSAIL_HTTP_BACKEND_ADDRESS_H_

#include <string>

namespace camphorsail {

/// Network address of a backend server, as `host:port`. Empty when it is not
/// known.
struct BackendAddress {
  std::string host_port;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_HTTP_BACKEND_ADDRESS_H_
