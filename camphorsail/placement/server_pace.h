#ifndef CAMPHORSAIL_PLACEMENT_SERVER_PACE_H_
#define CAMPHORSAIL_PLACEMENT_SERVER_PACE_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/base/random.h"

namespace camphorsail {

/// Limits the requests that all gateways together have in flight on a server
/// that has just started or recovered. The limit starts at a few requests,
/// grows by one for each answer that meets the expectation, and falls when
/// answers are late or fail. The pace ends once the limit has reached the
/// capacity of the server.
///
/// Each gateway keeps the limit for itself, but all of them learn from the same
/// answers, because the shared loads count them. The requests that the limit
/// still allows are divided among the gateways by lot, once for each shared
/// load that arrives (a turn): a gateway knows only in the next turn what the
/// others have sent in this one.
///
/// Not thread-safe; used on the event loop's thread only.
class ServerPace {
 public:
  /// The load by which a request is admitted.
  struct Load {
    /// Requests of this gateway on the server.
    int own = 0;
    /// Requests of the other gateways; nothing when it is not known.
    std::optional<double> others;
    /// Requests that the server runs at the same time.
    int slots = 1;
    /// Gateways that share the servers, this one included.
    int gateways = 1;
  };

  /// How much of the server a request may use.
  enum class Bound : uint8_t {
    /// What the limit allows.
    kLimit,
    /// All slots, for requests that would be late on every other server.
    kSlots
  };

  /// An answer of the server to this gateway.
  struct Answer {
    MonoTime started_at;
    /// Time to the start of the answer.
    absl::Duration first;
    /// The same, divided by the time that is typical for such a request.
    double ratio = 1;
    /// Latency objective of the request; zero for none.
    absl::Duration objective;
  };

  /// What the other gateways report of the server.
  struct SharedAnswers {
    /// Requests that they have on the server.
    double in_flight = 0;
    /// Answers since the last report.
    double answers = 0;
    /// How many of these were late, and failed attempts.
    double late = 0;
    /// Answers of all servers of the service.
    double service_answers = 0;
  };

  /// State of a pace that has ended, for the log.
  struct Summary {
    absl::Duration duration;
    int good_answers = 0;
  };

  /// Starts the pace, or starts it again from the lowest limit.
  void Begin(int slots, MonoTime now);

  bool is_active() const { return is_active_; }
  /// @return Requests that all gateways together may have in flight.
  double limit() const { return limit_; }

  /// @return True when this gateway may send the server one more request.
  bool Admits(const Load& load, Bound bound, MonoTime now, Random* random);
  void OnAnswer(const Answer& answer, int slots, MonoTime now);
  /// Records an attempt that failed or was not answered in time.
  void OnFailure(MonoTime now);
  /// Takes what the other gateways report, which begins a new turn.
  void OnSharedAnswers(const SharedAnswers& shared, int slots, MonoTime now);

  /// @return Late answers and failed attempts of this gateway since the last
  /// call.
  uint32_t TakeLateAnswers();
  /// @return Summary of the pace if it has ended since the last call.
  std::optional<Summary> TakeEnded();

 private:
  bool HasRoom(const Load& load, Bound bound, MonoTime now, Random* random);
  bool IsLate(const Answer& answer);
  /// @param good, late Numbers of answers.
  void OnAnswers(double good, double late, int slots, MonoTime now);
  void Lower(double factor, MonoTime now);
  void BeginTurn(MonoTime now);

  bool is_active_ = false;
  double limit_ = 0;
  double first_limit_ = 0;
  MonoTime began_at_;
  double good_answers_ = 0;
  /// Moving average of the share of late answers.
  double late_share_ = 0;
  uint32_t new_late_answers_ = 0;
  MonoTime lowered_at_;
  /// Ratio of the response times of the server itself, which may be slower than
  /// others for good; zero before the first answer.
  double base_ratio_ = 0;

  MonoTime turn_at_;
  /// This gateway's lot of the turn, from 0 to 1; nothing until it is drawn.
  std::optional<double> lot_;
  /// Requests of this gateway and of all gateways when the lot was drawn.
  int own_at_draw_ = 0;
  double load_at_draw_ = 0;
  /// True when most of the limit is in use or a request was refused, in this
  /// turn and in the one before.
  bool is_in_use_ = false;
  bool was_in_use_ = false;
  double service_answers_ = 0;
  std::optional<Summary> ended_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVER_PACE_H_
