#ifndef CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_
#define CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_

#include <string_view>

#include "absl/time/time.h"
#include "camphorsail/base/error_kind.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/exchange.h"
#include "camphorsail/process/metrics.h"

namespace camphorsail {

/// Writes what a gateway decides to the log and the metrics. Log lines are
/// bounded per second, failures apart from answers; dropped lines are counted.
/// Belongs to the loop's thread.
class GatewayJournal {
 public:
  /// @param metrics Outlives the journal; families are declared here.
  explicit GatewayJournal(Metrics* metrics);

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
  void OnBadRequest(ErrorKind kind, MonoTime now);

 private:
  /// Lines of one kind that may be written in each second.
  struct LineBudget {
    /// About a twentieth of the processor time of a small VM.
    static constexpr int kLinesPerSecond = 150;
    bool Take(MonoTime now);
    MonoTime second;
    int used = 0;
    uint64_t dropped = 0;
  };

  Metrics* const metrics_;
  MetricId requests_;
  MetricId attempts_;
  MetricId answer_time_;
  MetricId dropped_;
  LineBudget answers_;
  LineBudget failures_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_GATEWAY_JOURNAL_H_
