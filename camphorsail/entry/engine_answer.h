#ifndef CAMPHORSAIL_ENTRY_ENGINE_ANSWER_H_
#define CAMPHORSAIL_ENTRY_ENGINE_ANSWER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "camphorsail/base/units.h"
#include "camphorsail/entry/sse_parser.h"

namespace camphorsail {

/// The answer of a model engine to one request, assembled from the event
/// streams of one or more attempts. Owned by the request; not thread-safe.
class EngineAnswer {
 public:
  /// What one block of stream bytes added to the answer.
  struct Progress {
    /// Complete events to forward to a streaming caller.
    std::string caller_bytes;
    /// Number of new output tokens.
    Tokens tokens;
    /// The answer is complete.
    bool done = false;
    /// The engine reported an error or violated the stream protocol.
    bool failed = false;
  };

  /// @param chat True for a chat completion, false for a text completion.
  explicit EngineAnswer(bool chat) : chat_(chat) {}

  /// Starts a new attempt: drops the incomplete event of the previous attempt.
  /// The stream of the new attempt continues after `text()`.
  void StartAttempt();

  /// @param data Bytes of the current attempt's event stream.
  /// @return What the bytes added to the answer.
  Progress OnData(std::string_view data);

  /// @return True once the engine has sent a finish reason. No text is missing
  ///     then, even when the stream breaks afterwards.
  bool finished() const { return !finish_reason_.empty(); }
  /// @return The text received so far, from all attempts.
  const std::string& text() const { return text_; }
  /// @return The number of output tokens received so far.
  Tokens tokens() const { return tokens_; }

  /// @return The complete JSON answer for a caller that did not ask for a
  ///     stream.
  std::string CompleteAnswer() const;

 private:
  // Applies the data of one event of the stream.
  void OnEvent(const std::string& data, Progress* progress);
  // Returns an event of a later attempt with the id and creation time of the
  // first attempt, so that the caller sees one consistent stream.
  std::string RewriteEvent(nlohmann::ordered_json* event) const;

  bool chat_;
  /// True when the current attempt continues the stream of an earlier one.
  bool is_resumed_ = false;
  SseParser parser_;
  std::string text_;
  Tokens tokens_;
  /// `id_`, `model_` and `created_` come from the first event of the first
  /// attempt.
  std::string id_;
  std::string model_;
  int64_t created_ = 0;
  std::string finish_reason_;
  /// The engine's `usage` object as JSON text; empty when not reported.
  std::string usage_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ENTRY_ENGINE_ANSWER_H_
