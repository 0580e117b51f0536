#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_

#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/exchange.h"
#include "camphorsail/gateway/placement.h"
#include "camphorsail/process/metrics.h"

namespace camphorsail {

/// Writes what a gateway decides about requests to the log and the metrics.
/// Belongs to the loop's thread.
class GatewayJournal {
 public:
  /// @param metrics Outlives the journal; families are declared here.
  explicit GatewayJournal(Metrics* metrics);

  /// A server was chosen and is sent the request.
  void OnAttemptStarted(const Exchange& exchange,
                        const PlacementChoice& choice);
  /// The request was answered by a server.
  void OnAnswered(const Exchange& exchange, int status, MonoTime now);
  /// The gateway answered with an error, or cut the answer.
  void OnRefused(const Exchange& exchange,
                 ErrorKind kind,
                 std::string_view reason,
                 MonoTime now);
  void OnCallerLeft(const Exchange& exchange, MonoTime now);
  /// @param next What is done about it: `retry`, `resume` or `give_up`.
  void OnAttemptFailed(const Exchange& exchange,
                       std::string_view failure,
                       std::string_view next,
                       MonoTime now);
  /// A request that did not become an exchange.
  void OnBadRequest(ErrorKind kind);

 private:
  Metrics* const metrics_;
  MetricId requests_;
  MetricId attempts_;
  MetricId first_answer_time_;
  MetricId answer_time_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_
