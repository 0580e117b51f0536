#ifndef CAMPHORSAIL_PLACEMENT_SERVER_SPEED_H_
#define CAMPHORSAIL_PLACEMENT_SERVER_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "camphorsail/base/mono_time.h"
#include "camphorsail/placement/speed_samples.h"

namespace camphorsail {

/// How long work takes on one server, as a multiple of what is usual in its
/// service: lastingly, and at the moment. The lasting factor is the average of
/// what all gateways measure, so that they divide the servers alike. The factor
/// of the moment is the latest one that this gateway has seen; `ServiceSpeeds`
/// weighs it by its age. Not thread-safe.
class ServerSpeed {
 public:
  /// Records how long the server took for work that it did not interrupt for
  /// prompts, as far as known.
  /// @param ratio Time divided by the usual time of the service; positive.
  void OnWork(double ratio);
  /// Records how long work takes at the moment, as a multiple of the time that
  /// is usual on this server.
  void OnMoment(double slowdown, MonoTime now) {
    moment_ = slowdown;
    moment_at_ = now;
  }

  /// @return What this gateway has measured since the last call. Empty while
  /// there are too few values.
  SpeedSamples TakeOwn();
  /// Takes what the other gateways have measured, and adds to it what this
  /// gateway has taken by `TakeOwn` since the last call.
  void OnOthers(const SpeedSamples& others, MonoTime now);

  /// @return True once there are enough values of all gateways.
  bool IsKnown() const { return is_known_; }
  /// @return Binary logarithm of the lasting factor; zero while unknown.
  double LogFactor() const { return IsKnown() ? log_factor_ : 0; }

  /// @return True when the other gateways need what this gateway measures.
  bool is_shared() const { return is_shared_; }

  /// The latest factor of the moment and its time.
  double moment() const { return moment_; }
  MonoTime moment_at() const { return moment_at_; }

  /// @return The lasting factor to be used in estimates; 1 unless the servers
  /// of the service are uneven.
  double lasting() const { return lasting_; }
  /// @return True when the server is in the lane of the interactive streams of
  /// a service with uneven servers.
  bool is_interactive() const { return is_interactive_; }
  /// @return Rounded logarithm of the factor, by which the servers are ordered.
  int rank_step() const { return rank_step_; }

  /// Set by `ServiceSpeeds`.
  void SetLasting(double lasting) { lasting_ = lasting; }
  void Share() { is_shared_ = true; }
  void SetInteractive(bool is_interactive) { is_interactive_ = is_interactive; }
  void SetRankStep(int step) { rank_step_ = step; }

 private:
  /// Fraction of the measured times below the lasting factor. Below the median,
  /// because spells and prompts of other requests lengthen some times.
  static constexpr double kQuantile = 0.25;
  /// Values from which it is taken. They come from several streams, so that a
  /// spell lengthens only some of them.
  static constexpr size_t kCapacity = 64;
  static constexpr size_t kMinValues = 8;
  /// Largest weight of this gateway in one exchange of loads.
  static constexpr uint32_t kMaxOwnWeight = 32;
  /// Weight from which on the factor is known.
  static constexpr double kMinWeight = 24;
  /// Time constant of the average of all gateways. Much longer than a spell, so
  /// that an engine does not change its lane for one.
  static constexpr double kMemorySeconds = 30;

  /// The latest values of this gateway, and their number so far.
  std::array<float, kCapacity> own_{};
  size_t values_ = 0;
  /// Values since the last call of `TakeOwn`.
  uint32_t new_values_ = 0;
  /// What was taken since the last call of `OnOthers`.
  SpeedSamples taken_;
  double log_factor_ = 0;
  /// Decaying weight of the values in it.
  double weight_ = 0;
  MonoTime weighed_at_;
  bool is_known_ = false;
  double moment_ = 1;
  MonoTime moment_at_;
  double lasting_ = 1;
  int rank_step_ = 0;
  bool is_interactive_ = false;
  bool is_shared_ = false;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVER_SPEED_H_
