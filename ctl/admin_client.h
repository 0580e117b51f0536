#ifndef CTL_ADMIN_CLIENT_H_
#define CTL_ADMIN_CLIENT_H_

#include <string>

#include "ctl/admin_exchange.h"

namespace camphorsail::ctl {

/// Calls the admin API of one VM with libcurl. Used by one thread.
class AdminClient {
 public:
  /// @param url Scheme, host and port, without a final slash.
  /// @param secret The operators' credential.
  AdminClient(std::string url, std::string secret);

  AdminResponse Call(const AdminRequest& request);

 private:
  const std::string url_;
  const std::string secret_;
};

}  // namespace camphorsail::ctl

#endif  // CTL_ADMIN_CLIENT_H_
