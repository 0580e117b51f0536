#ifndef CAMPHORSAIL_GATEWAY_DEMAND_METER_H_
#define CAMPHORSAIL_GATEWAY_DEMAND_METER_H_

#include <cmath>

#include "absl/time/time.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/gateway/lane_demand.h"

namespace camphorsail {

/// Measures the work that arrives at one gateway, smoothed over some seconds.
/// Belongs to the loop's thread.
class DemandMeter {
 public:
  void Add(bool is_quick, double work_ms, MonoTime now) {
    Decay(now);
    (is_quick ? sum_.quick : sum_.bulk) += work_ms;
  }
  /// @return Work per second.
  LaneDemand Rate(MonoTime now) {
    Decay(now);
    return {sum_.quick / kTimeConstantSeconds,
            sum_.bulk / kTimeConstantSeconds};
  }

 private:
  /// Long enough for a rate from some ten requests, short beside a burst.
  static constexpr double kTimeConstantSeconds = 3;

  void Decay(MonoTime now) {
    const double factor =
        std::exp(-absl::ToDoubleSeconds(now - at_) / kTimeConstantSeconds);
    sum_.quick *= factor;
    sum_.bulk *= factor;
    at_ = now;
  }

  LaneDemand sum_;
  MonoTime at_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_DEMAND_METER_H_
