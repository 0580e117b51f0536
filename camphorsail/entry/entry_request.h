#ifndef CAMPHORSAIL_ENTRY_ENTRY_REQUEST_H_
#define CAMPHORSAIL_ENTRY_ENTRY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/control/effective_settings.h"
#include "camphorsail/entry/admission.h"
#include "camphorsail/entry/attempt_id.h"
#include "camphorsail/entry/engine_answer.h"
#include "camphorsail/entry/model_request.h"

namespace camphorsail {

/// One caller's request from its headers to the end of its answer. Owned by its
/// `EntryShard`.
struct EntryRequest {
  enum class Phase : uint8_t {
    kReadingBody,
    /// The first share of the account's limits is on its way to this VM.
    kAwaitingShare,
    kOpeningLedger,
    /// With the scheduler: queued or running an attempt.
    kScheduled,
  };

  RequestId id;
  Phase phase = Phase::kReadingBody;
  MonoTime arrival;
  /// Start of the current phase.
  MonoTime phase_start;
  /// Keeps `headers.account` and `headers.effective` alive.
  Ref<EffectiveSettings> snapshot;
  AdmittedHeaders headers;
  std::string path;
  std::string content_type;
  /// The caller's key, or the request id. Set for non-idempotent requests.
  IdempotencyKey ledger_key;
  /// The ledger has been asked and has not answered.
  bool ledger_pending = false;
  /// True while the ledger has an open record of this request.
  bool ledger_open = false;
  /// The request counts in the concurrency of its account's limits.
  bool holds_limit = false;
  /// The caller has its answer or is gone; nothing more is sent to it.
  bool answered = false;

  std::string body;
  /// Set for model endpoints; its `prompt` is dropped after scheduling.
  ModelRequest model;
  /// Model or service name after defaults.
  ModelId target;
  Tokens max_tokens;

  /// The scheduler knows the request.
  bool in_scheduler = false;
  /// Set while a backend call runs.
  std::optional<AttemptId> attempt;
  BackendServerId server;
  MonoTime attempt_deadline;
  /// An earlier attempt was sent and may have run.
  bool sent_before = false;
  int backend_status = 0;
  std::string backend_content_type;
  /// The attempt's answer is an event stream that goes through `answer`.
  bool sse = false;
  /// Output tokens of the current attempt.
  Tokens attempt_tokens;
  /// Event streams of all attempts.
  std::optional<EngineAnswer> answer;
  /// An answer that is not an event stream, of the current attempt only.
  std::string whole;

  /// The answer to the caller has started, so no other status is possible.
  bool headers_sent = false;
  /// When the first byte of the answer was sent; the clock's origin before.
  MonoTime first_byte;
  /// Bytes handed to the caller's connection and not yet taken by it.
  size_t unread_bytes = 0;
  bool paused = false;
  /// Start of the streamed answer for the ledger, up to its limit.
  std::string ledger_body;
  bool ledger_body_truncated = false;

  /// @return True when any byte may have reached a backend server that may have
  ///     run the request.
  bool MayHaveRun() const { return sent_before || attempt.has_value(); }
  bool is_model() const {
    return headers.endpoint == CallerEndpoint::kChatCompletions ||
           headers.endpoint == CallerEndpoint::kCompletions;
  }
};

/// @param request The request that fails.
/// @param error The reason, as the place that found it sees it.
/// @return The error with a kind whose `request_was_run` is true for this
///     request: "no" only when nothing may have run.
Error TruthfulError(const EntryRequest& request, Error error);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_REQUEST_H_
