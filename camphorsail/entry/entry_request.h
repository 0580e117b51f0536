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

/// State of one caller's request from the arrival of its headers to the end of
/// its answer. Owned by its `EntryShard`.
struct EntryRequest {
  /// Where the request stands in the request path.
  enum class Phase : uint8_t {
    /// Headers received; the body is still being read.
    kReadingBody,
    /// Waiting for this VM's first share of the account's limits.
    kAwaitingLimitShare,
    /// Waiting for the ledger's answer.
    kOpeningLedger,
    /// Passed to the scheduler: queued or running an attempt.
    kScheduled,
  };

  RequestId id;
  Phase phase = Phase::kReadingBody;
  MonoTime arrival;
  /// Start of the current phase.
  MonoTime phase_start;
  /// Settings at arrival; owns `headers.account` and `headers.effective`.
  Ref<EffectiveSettings> effective_settings;
  AdmittedHeaders headers;
  std::string path;
  std::string content_type;
  /// Idempotency key from the caller, or the request id when the caller gave
  /// none. Set only for non-idempotent requests.
  IdempotencyKey ledger_key;
  /// True while the ledger has not yet answered the open request.
  bool ledger_pending = false;
  /// True while the ledger has an open record of this request.
  bool ledger_open = false;
  /// True while the request counts towards its account's concurrency limit.
  bool holds_concurrency_slot = false;
  /// True once the caller has its complete answer or has disconnected. Nothing
  /// more is sent to it.
  bool caller_done = false;

  std::string body;
  /// The parsed body; set for model endpoints. Its `prompt` is cleared once the
  /// request is passed to the scheduler, to free memory.
  ModelRequest model;
  /// Model or service that the request is for, after defaults are applied.
  ModelId target;
  Tokens max_tokens;

  /// True while the scheduler keeps the request.
  bool is_in_scheduler = false;
  /// Identity of the running backend call; empty when none runs.
  std::optional<AttemptId> attempt;
  /// Backend server of the latest attempt.
  BackendServerId server;
  MonoTime attempt_deadline;
  /// True when an earlier attempt was sent to a backend server and may have
  /// run.
  bool sent_before = false;
  /// HTTP status of the current attempt's answer.
  int backend_status = 0;
  std::string backend_content_type;
  /// True when the current attempt's answer is an event stream, which is parsed
  /// by `answer`.
  bool is_event_stream = false;
  /// Number of output tokens of the current attempt.
  Tokens attempt_tokens;
  /// The answer assembled from the event streams of all attempts. Empty for
  /// services and when the engine sends one JSON answer.
  std::optional<EngineAnswer> answer;
  /// Buffered answer of the current attempt when it is not an event stream.
  std::string buffered_answer;

  /// True once a streamed answer to the caller has started, so that its HTTP
  /// status can no longer change.
  bool headers_sent = false;
  /// When the first byte of the answer was sent; before that the default
  /// `MonoTime`.
  MonoTime first_byte;
  /// Answer bytes emitted for the caller that its connection has not yet
  /// consumed.
  size_t unconsumed_bytes = 0;
  /// True while reading from the backend server is paused.
  bool paused = false;
  /// Copy of the streamed answer for the ledger; cleared when it exceeds
  /// `kMaxLedgerBodyBytes`.
  std::string ledger_body;
  bool ledger_body_truncated = false;

  /// @return True when a backend server may have received and run the request.
  bool MayHaveRun() const { return sent_before || attempt.has_value(); }
  /// @return True for chat and text completions, false for other endpoints.
  bool is_model() const {
    return headers.endpoint == CallerEndpoint::kChatCompletions ||
           headers.endpoint == CallerEndpoint::kCompletions;
  }
};

/// Replaces an error's kind when its `request_was_run` does not hold for the
/// request. The code that detects an error does not know whether an earlier
/// attempt was sent.
///
/// @param request The request that fails.
/// @param error The error as detected.
/// @return The error with a kind that states "no" only when no attempt can have
///     run.
Error CorrectErrorKind(const EntryRequest& request, Error error);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENTRY_REQUEST_H_
