#ifndef CAMPHORSAIL_ENTRY_ADMISSION_H_
#define CAMPHORSAIL_ENTRY_ADMISSION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/control/effective_settings.h"
#include "camphorsail/entry/request_arrived_event.h"

namespace camphorsail {

/// The HTTP endpoints that callers may use.
enum class CallerEndpoint : uint8_t {
  kChatCompletions,
  kCompletions,
  kModels,
  kService
};

/// Sender, endpoint and class of a request, as found in its headers.
struct AdmittedHeaders {
  CallerEndpoint endpoint = CallerEndpoint::kChatCompletions;
  /// Name of the service; set only when `endpoint` is `kService`.
  ModelId service;
  /// Null until the API key has been verified.
  const EffectiveAccount* account = nullptr;
  /// Class of the request. Null until the account and the class are known.
  const EffectiveClass* effective_class = nullptr;
  /// False when the request must run at most once.
  bool idempotent = true;
};

/// Authenticates a request and finds its class.
///
/// @param event The headers.
/// @param effective_settings The settings that apply to the request.
/// @param result Receives what the checks found before the first one that
///     failed, so that a refusal can be recorded for the account.
/// @return Success, or `kUnauthenticated`, `kNotFound`, `kMethodNotAllowed`,
///     `kUnknownClass` or `kInvalidRequest`.
Expected<void> CheckHeaders(const RequestArrivedEvent& event,
                            const EffectiveSettings& effective_settings,
                            AdmittedHeaders* result);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ADMISSION_H_
