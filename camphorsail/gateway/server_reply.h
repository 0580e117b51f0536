#ifndef CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_
#define CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "camphorsail/placement/reported_load.h"

namespace camphorsail {

/// The information that the gateway reads from the headers of a server's
/// answer.
struct ServerReply {
  /// Id of the request that is answered.
  std::string request_id;
  /// True when the server states that it has not run the request and will not
  /// run it.
  bool not_run = false;
  /// True when the answer has the server's signature, which every answer to a
  /// request that was run has.
  bool is_signed = false;
  /// True when an intermediary has changed the encoding of the body.
  bool is_encoded = false;
  /// True when the server is about to leave and wants no more requests.
  bool is_leaving = false;
  /// Time for which a server that is full wants no requests from this gateway.
  std::optional<absl::Duration> rest;
  std::optional<ReportedLoad> load;
  /// The text of a load report that cannot be read; empty when there is none.
  std::string odd_load;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_
