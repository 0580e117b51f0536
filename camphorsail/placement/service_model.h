#ifndef CAMPHORSAIL_PLACEMENT_SERVICE_MODEL_H_
#define CAMPHORSAIL_PLACEMENT_SERVICE_MODEL_H_

#include <array>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "camphorsail/base/urgency.h"
#include "camphorsail/placement/admission_gate.h"
#include "camphorsail/placement/engine_model.h"
#include "camphorsail/placement/route_profile.h"
#include "camphorsail/placement/service_speeds.h"
#include "camphorsail/routing/route.h"

namespace camphorsail {

/// What a gateway has learned about one service: the speed of its servers, the
/// requests of each route, and which routes belong to which lane (see
/// `Placement`).
///
/// The routes are split where their average prompt lengths are furthest apart,
/// as a ratio. Routes above the gap form the bulk lane. When no gap is wide
/// enough, all routes are interactive and share all engines. No length or time
/// is built in, so the split fits engines of any speed.
///
/// Not thread-safe; used on the event loop's thread only.
class ServiceModel {
 public:
  /// What placement needs to know about the streams of a lane.
  struct Lane {
    /// Shortest pause between two events that a stream of the lane allows; zero
    /// when no route of the lane has a limit.
    absl::Duration max_event_gap;
    /// Average latency objective of the requests; zero when there are none.
    absl::Duration objective;
    /// Average prompt tokens of a request that no other request shares.
    double unshared_tokens = 0;
  };

  /// Records a new request.
  /// @param prompt_tokens Length of the prompt; 0 for a plain service.
  /// @param unshared_tokens Length of its last part.
  void OnRequest(const Route& route,
                 double prompt_tokens,
                 double unshared_tokens);

  /// Records the first event of a stream on an engine that had no other prompt
  /// to read, see `EngineModel::OnFirstEvent`.
  void OnFirstEvent(double uncached_tokens,
                    absl::Duration wait,
                    ServerSpeed* speed) {
    engine_.OnFirstEvent(uncached_tokens, wait / speed->lasting());
    speeds_.OnFirstEvent(uncached_tokens, wait, speed);
  }
  /// Records the time between two events of a stream, see `EngineModel::OnGap`.
  void OnGap(double tokens,
             absl::Duration gap,
             absl::Duration backlog,
             ServerSpeed* speed,
             MonoTime now);

  /// Records the longest pause that a request of this urgency allows; zero for
  /// no limit.
  void OnPauseLimit(Urgency urgency, absl::Duration max_event_gap);
  /// @return The shortest of these pauses; zero for no limit.
  absl::Duration PauseLimitOf(Urgency urgency) const {
    return pause_limits_[urgency.value()];
  }

  /// @return False when the requests of the route belong to the bulk lane.
  bool IsInteractive(const Route& route) const;
  const Lane& LaneOf(bool is_interactive) const {
    return is_interactive ? interactive_ : bulk_;
  }

  RouteProfile& ProfileOf(const Route& route) {
    return routes_[route.name].profile;
  }
  EngineModel& engine() { return engine_; }
  const EngineModel& engine() const { return engine_; }
  ServiceSpeeds& speeds() { return speeds_; }
  const ServiceSpeeds& speeds() const { return speeds_; }
  AdmissionGate& admission() { return admission_; }
  const AdmissionGate& admission() const { return admission_; }

 private:
  struct RouteEntry {
    RouteProfile profile;
    absl::Duration max_event_gap;
    absl::Duration objective;
    bool is_interactive = true;
  };

  /// Divides the routes into the two lanes.
  void Split();

  EngineModel engine_;
  ServiceSpeeds speeds_;
  AdmissionGate admission_;
  absl::flat_hash_map<std::string, RouteEntry> routes_;
  Lane interactive_;
  Lane bulk_;
  int requests_until_split_ = 0;
  std::array<absl::Duration, kUrgencyLevels> pause_limits_{};
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_SERVICE_MODEL_H_
