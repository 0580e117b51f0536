#ifndef CAMPHORSAIL_PLACEMENT_DEMAND_METER_H_
#define CAMPHORSAIL_PLACEMENT_DEMAND_METER_H_

#include <algorithm>
#include <cmath>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/placement/engine_demand.h"

namespace camphorsail {

/// Measures the work that arrives at one gateway, as an exponential moving
/// average. The time constant of the average gets shorter the more requests all
/// gateways together receive: the sum of their measurements then needs less
/// time to become accurate, and the division of the engines into lanes (see
/// `Placement`) follows a burst sooner. Not thread-safe; used on the event
/// loop's thread only.
class DemandMeter {
 public:
  /// Counts a request that has arrived.
  /// @param is_interactive True for a stream with a short latency objective for
  /// its first event.
  /// @param work_ms Engine time that the request takes, in milliseconds.
  void Add(bool is_interactive, double work_ms, MonoTime now) {
    Decay(now);
    (is_interactive ? rate_.interactive : rate_.bulk) +=
        work_ms / time_constant_;
    rate_.requests += 1 / time_constant_;
    rate_.interactive_requests += is_interactive ? 1 / time_constant_ : 0;
  }
  /// @return Average work per second.
  EngineDemand Rate(MonoTime now) {
    Decay(now);
    return rate_;
  }

  /// Sets the time constant by the request rate of all gateways together.
  /// @param requests Requests per second at all gateways together.
  void SetTotalRequests(double requests, MonoTime now) {
    Decay(now);
    time_constant_ = std::clamp(kRequests / std::max(requests, 1.0),
                                kShortestSeconds, kLongestSeconds);
  }
  /// @return Time constant of the moving average, in seconds.
  double time_constant() const { return time_constant_; }

 private:
  /// Requests at all gateways within one time constant. With this many, the sum
  /// is accurate to about 5 %. With fewer, the lanes of a deployment with few
  /// requests would change by chance, and the engines would have to prefill
  /// shared prefixes again.
  static constexpr double kRequests = 400;
  static constexpr double kShortestSeconds = 0.5;
  static constexpr double kLongestSeconds = 3;

  void Decay(MonoTime now) {
    const double factor =
        std::exp(-absl::ToDoubleSeconds(now - at_) / time_constant_);
    rate_.interactive *= factor;
    rate_.bulk *= factor;
    rate_.requests *= factor;
    rate_.interactive_requests *= factor;
    at_ = now;
  }

  double time_constant_ = kLongestSeconds;
  EngineDemand rate_;
  MonoTime at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_DEMAND_METER_H_
