#ifndef CAMPHORSAIL_GATEWAY_DEMAND_METER_H_
#define CAMPHORSAIL_GATEWAY_DEMAND_METER_H_

#include <algorithm>
#include <cmath>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/lane_demand.h"

namespace camphorsail {

/// Measures the work that arrives at one gateway. The more requests all
/// gateways take, the shorter is the time over which it is smoothed: the sum of
/// many gateways is exact sooner, and the lanes follow a burst sooner. Belongs
/// to the loop's thread.
class DemandMeter {
 public:
  void Add(bool is_quick, double work_ms, MonoTime now) {
    Decay(now);
    (is_quick ? rate_.quick : rate_.bulk) += work_ms / time_constant_;
    rate_.requests += 1 / time_constant_;
  }
  /// @return Work per second.
  LaneDemand Rate(MonoTime now) {
    Decay(now);
    return rate_;
  }

  /// @param requests Of all gateways per second.
  void SetFleetRequests(double requests, MonoTime now) {
    Decay(now);
    time_constant_ = std::clamp(kRequests / std::max(requests, 1.0),
                                kShortestSeconds, kLongestSeconds);
  }
  /// @return Seconds over which the work is smoothed.
  double time_constant() const { return time_constant_; }

 private:
  /// Requests of the fleet in one time constant. Their sum is then exact to
  /// about a twentieth; with less, the lanes of a small fleet change by chance,
  /// and its engines read prefixes again.
  static constexpr double kRequests = 400;
  static constexpr double kShortestSeconds = 0.5;
  static constexpr double kLongestSeconds = 3;

  void Decay(MonoTime now) {
    const double factor =
        std::exp(-absl::ToDoubleSeconds(now - at_) / time_constant_);
    rate_.quick *= factor;
    rate_.bulk *= factor;
    rate_.requests *= factor;
    at_ = now;
  }

  double time_constant_ = kLongestSeconds;
  LaneDemand rate_;
  MonoTime at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_DEMAND_METER_H_
