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

/// The endpoints for callers.
enum class CallerEndpoint : uint8_t {
  kChatCompletions,
  kCompletions,
  kModels,
  kService
};

/// Who sends a request and what it asks for, from its headers.
struct AdmittedHeaders {
  CallerEndpoint endpoint = CallerEndpoint::kChatCompletions;
  /// Set for `kService`.
  ModelId service;
  const EffectiveAccount* account = nullptr;
  /// Null until the account and class are known.
  const EffectiveClass* effective = nullptr;
  bool idempotent = true;
};

/// Authenticates a request and finds its class.
///
/// @param event The headers.
/// @param snapshot The settings in force.
/// @param result Filled as far as the checks succeed, so that a refusal can be
///     recorded for the account.
/// @return Nothing, or `kUnauthenticated`, `kNotFound`, `kMethodNotAllowed`,
///     `kUnknownClass` or `kInvalidRequest`.
Expected<void> CheckHeaders(const RequestArrivedEvent& event,
                            const EffectiveSettings& snapshot,
                            AdmittedHeaders* result);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ADMISSION_H_
