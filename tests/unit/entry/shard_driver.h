#ifndef TESTS_UNIT_ENTRY_SHARD_DRIVER_H_
#define TESTS_UNIT_ENTRY_SHARD_DRIVER_H_

#include <string>
#include <variant>
#include <vector>

#include "camphorsail/entry/entry_shard.h"
#include "tests/unit/entry/scripted_scheduler.h"

namespace camphorsail {

/// Runs one shard in virtual time and keeps all its actions. There is one
/// account `acme` with the API key `acme-key` and the classes `plan`
/// (idempotent) and `booking` (non-idempotent), one model `m` and one service
/// `s`.
class ShardDriver {
 public:
  ShardDriver();

  /// @return Settings in which `acme` has the given limits; zero means
  ///     unlimited.
  static Ref<EffectiveSettings> MakeSettings(double requests_per_s = 0,
                                             double tokens_per_s = 0,
                                             int concurrency = 0);

  void Step(EntryEvent event);
  void Advance(absl::Duration duration) { now = now + duration; }

  /// Sends headers and body of a chat request.
  void SendChat(uint64_t id,
                bool streamed,
                const std::string& class_name = "plan",
                const std::string& idempotency_key = "");
  /// Sends headers and body of a call of the service `s`, class `booking`.
  void SendServiceCall(uint64_t id, const std::string& idempotency_key);
  /// Sends the headers of a request.
  void SendHeaders(uint64_t id,
                   const std::string& path,
                   const std::string& class_name = "plan",
                   const std::string& key = "acme-key");
  /// Sends the body of a request.
  void SendBody(uint64_t id, const std::string& body);
  /// Makes the ledger permit the request to be sent.
  void GrantLedgerOpen(uint64_t id);

  /// Makes the scheduler dispatch the request to server `a`.
  void Dispatch(uint64_t id, uint32_t attempt, uint64_t incarnation = 1);
  DispatchAction MakeDispatch(uint64_t id,
                              uint32_t attempt,
                              uint64_t incarnation = 1) const;
  /// Sends the engine's answer headers of an event stream.
  void ReceiveStreamHeaders(uint64_t id,
                            uint32_t attempt,
                            uint64_t incarnation = 1);
  /// Sends bytes of the engine's answer.
  void ReceiveData(uint64_t id,
                   uint32_t attempt,
                   const std::string& data,
                   uint64_t incarnation = 1);
  /// Makes the backend call fail, before or after the request was sent.
  void FailCall(uint64_t id, uint32_t attempt, bool sent = true);
  /// Ends the engine's answer.
  void ReceiveEnd(uint64_t id, uint32_t attempt);

  /// @return All actions of one type so far.
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> result;
    for (const EntryAction& action : actions) {
      if (const T* match = std::get_if<T>(&action)) {
        result.push_back(*match);
      }
    }
    return result;
  }
  /// @return The bytes sent to a caller.
  std::string CallerBytes(uint64_t id) const;
  /// @return The HTTP status sent to a caller; 0 when none was sent.
  int StatusOf(uint64_t id) const;
  /// @return How many times the end of the answer was sent to a caller.
  int EndCount(uint64_t id) const;
  /// @return The text of the content deltas sent to a caller.
  std::string CallerText(uint64_t id) const;
  /// @return `error.code` and `error.request_was_run` of a caller's answer, as
  ///     `code/run`.
  std::string ErrorOf(uint64_t id) const;

  /// @return An event of an engine's chat stream that adds the text `w<index>
  ///     `.
  static std::string TokenEvent(int index, const std::string& stream_id = "x");
  /// @return An event with a finish reason and token counts.
  static std::string FinishEvent(const std::string& stream_id = "x");
  static std::string Done() { return "data: [DONE]\n\n"; }

  MonoTime now = MonoTime::FromNanos(1'000'000'000);
  ScriptedScheduler scheduler;
  RequestLimits limits;
  EntryShard<ScriptedScheduler> shard;
  std::vector<EntryAction> actions;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_ENTRY_SHARD_DRIVER_H_
