#ifndef CAMPHORSAIL_ENTRY_MODEL_REQUEST_H_
#define CAMPHORSAIL_ENTRY_MODEL_REQUEST_H_

#include <string>
#include <string_view>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/units.h"

namespace camphorsail {

/// The fields of a chat or text completion request that the router uses.
struct ModelRequest {
  /// True for a chat completion, false for a text completion.
  bool chat = true;
  /// Empty when the body names no model.
  ModelId model;
  /// True when the caller asked for server-sent events.
  bool streamed = false;
  /// True when the engine must send one JSON answer instead of a stream,
  /// because the answer may have parts that the router cannot assemble from a
  /// stream (several choices, tool calls, log probabilities).
  bool needs_unstreamed_answer = false;
  /// Limit of output tokens; zero when the body sets none.
  Tokens max_tokens;
  /// Text of all messages, or the prompt. Its prefixes are hashed to find
  /// engines that have them in their prefix cache.
  std::string prompt;
};

/// Parses and checks the body of a completion request.
///
/// @param chat True for `/v1/chat/completions`, false for `/v1/completions`.
/// @param body The body as received.
/// @return The request, or `kInvalidRequest` or `kInvalidUtf8`.
Expected<ModelRequest> ParseModelRequest(bool chat, std::string_view body);

/// @param answer A complete JSON answer of an engine.
/// @return `usage.completion_tokens`; zero when the answer does not state it.
Tokens CompletionTokens(std::string_view answer);

/// The fields that the router sets in the request body for one attempt on an
/// engine.
struct EngineBodyOptions {
  ModelId model;
  Tokens max_tokens;
  /// Priority in the engine's queue; smaller values run first.
  int priority = 0;
  bool stream = true;
  /// Text of the answer so far and its number of tokens. The engine resumes
  /// after them; zero tokens start a new answer.
  std::string_view resume_text;
  Tokens resume_tokens;
};

/// Builds the request body that is sent to the engine.
///
/// @param body A body that `ParseModelRequest` accepted.
/// @param options The fields to set.
/// @return The body for the engine.
std::string BuildEngineBody(std::string_view body,
                            const EngineBodyOptions& options);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_MODEL_REQUEST_H_
