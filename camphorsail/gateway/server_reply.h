#ifndef CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_
#define CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_

#include <optional>
#include <string>

namespace camphorsail {

/// Load that a server reports with an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// What the headers of a server's answer say to the gateway.
struct ServerReply {
  /// The request that it answers.
  std::string request_id;
  /// True when the server states that it did not run the request and never
  /// will.
  bool not_run = false;
  /// True when the answer carries the server's signature, which every answer to
  /// a request that ran has.
  bool is_signed = false;
  /// True when an intermediate has encoded the body.
  bool is_encoded = false;
  std::optional<ReportedLoad> load;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_SERVER_REPLY_H_
