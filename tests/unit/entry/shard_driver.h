#ifndef TESTS_UNIT_ENTRY_SHARD_DRIVER_H_
#define TESTS_UNIT_ENTRY_SHARD_DRIVER_H_

#include <string>
#include <variant>
#include <vector>

#include "camphorsail/entry/entry_shard.h"
#include "tests/unit/entry/scripted_scheduler.h"

namespace camphorsail {

/// Runs one shard in virtual time with the account `acme` (key `acme-key`,
/// classes `plan` and the non-idempotent `booking`), the model `m` and the
/// service `s`. Keeps every action.
class ShardDriver {
 public:
  ShardDriver();

  /// @return Settings with limits of `acme`; zero means unlimited.
  static Ref<EffectiveSettings> MakeSnapshot(double requests_per_s = 0,
                                             double tokens_per_s = 0,
                                             int concurrency = 0);

  void Step(EntryEvent event);
  void Advance(absl::Duration duration) { now = now + duration; }

  /// Sends headers and body of a chat request with stream and class as given.
  void Chat(uint64_t id,
            bool streamed,
            const std::string& class_name = "plan",
            const std::string& idempotency_key = "");
  /// Sends a service call.
  void Call(uint64_t id, const std::string& idempotency_key);
  /// Sends headers only.
  void Arrive(uint64_t id,
              const std::string& path,
              const std::string& class_name = "plan",
              const std::string& key = "acme-key");
  void Body(uint64_t id, const std::string& body);
  void Grant(uint64_t id);

  /// The scheduler sends the request to server `a`.
  void Dispatch(uint64_t id, uint32_t attempt, uint64_t incarnation = 1);
  DispatchAction MakeDispatch(uint64_t id,
                              uint32_t attempt,
                              uint64_t incarnation = 1) const;
  /// The engine answers with the status and type of an event stream.
  void StartStream(uint64_t id, uint32_t attempt, uint64_t incarnation = 1);
  void Data(uint64_t id,
            uint32_t attempt,
            const std::string& data,
            uint64_t incarnation = 1);
  void Fail(uint64_t id, uint32_t attempt, bool sent = true);
  void End(uint64_t id, uint32_t attempt);

  /// @return All actions of one type so far.
  template <typename T>
  std::vector<T> All() const {
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
  /// @return The status sent to a caller; 0 when none.
  int Status(uint64_t id) const;
  /// @return How often a caller's answer was completed.
  int Ends(uint64_t id) const;
  /// @return The text of the content deltas sent to a caller.
  std::string CallerText(uint64_t id) const;
  /// @return `error.code` and `error.request_was_run` of a caller's answer, as
  ///     `code/run`.
  std::string ErrorOf(uint64_t id) const;

  /// One event of an engine's chat stream with the text `w<index> `.
  static std::string TokenEvent(int index, const std::string& stream_id = "x");
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
