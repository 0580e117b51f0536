#ifndef CAMPHORSAIL_PLACEMENT_GATEWAY_SERVER_LOAD_H_
#define CAMPHORSAIL_PLACEMENT_GATEWAY_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "camphorsail/placement/speed_samples.h"
#include "camphorsail/placement/urgency_counts.h"
#include "msgpack.hpp"

namespace camphorsail {

/// Load that one or more gateways put on one backend server, which may be a
/// model engine or a plain service.
struct GatewayServerLoad {
  /// Hash of the server's id, equal on all VMs.
  uint64_t server = 0;
  /// Requests in progress.
  uint32_t in_flight = 0;
  /// Time that the server needs to read the prompts of these requests that it
  /// has not read yet, in milliseconds.
  uint32_t backlog_ms = 0;
  /// First events and whole answers that arrived since the report before.
  uint32_t answers = 0;
  /// The parts of `in_flight` and `backlog_ms` whose urgency is known. What is
  /// missing, from a gateway of an older release, counts as most urgent.
  UrgencyCounts requests_by_urgency{};
  UrgencyCounts backlog_ms_by_urgency{};
  /// How long work took on the server since the report before. Only sent for
  /// servers that differ in speed, see `ServiceSpeeds`.
  SpeedSamples speed{};
  /// Tokens that the requests hold in the server's memory. Only counted for
  /// services whose memory is stated.
  UrgencyCounts tokens_by_urgency{};
  /// Late answers and failed attempts since the report before, counted while
  /// the server is paced; see `ServerPace`.
  uint32_t late_answers = 0;

  GatewayServerLoad& operator+=(const GatewayServerLoad& other) {
    in_flight += other.in_flight;
    backlog_ms += other.backlog_ms;
    answers += other.answers;
    requests_by_urgency += other.requests_by_urgency;
    backlog_ms_by_urgency += other.backlog_ms_by_urgency;
    speed += other.speed;
    tokens_by_urgency += other.tokens_by_urgency;
    late_answers += other.late_answers;
    return *this;
  }
  /// @param other A load that was added before.
  GatewayServerLoad& operator-=(const GatewayServerLoad& other) {
    in_flight -= other.in_flight;
    backlog_ms -= other.backlog_ms;
    answers -= other.answers;
    requests_by_urgency -= other.requests_by_urgency;
    backlog_ms_by_urgency -= other.backlog_ms_by_urgency;
    speed -= other.speed;
    tokens_by_urgency -= other.tokens_by_urgency;
    late_answers -= other.late_answers;
    return *this;
  }

  /// @return True when the load says nothing.
  bool IsEmpty() const {
    return in_flight == 0 && backlog_ms == 0 && answers == 0 &&
           speed.IsEmpty() && late_answers == 0;
  }

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    if (speed.IsEmpty() && tokens_by_urgency == UrgencyCounts() &&
        late_answers == 0) {
      msgpack::type::make_define_array(server, in_flight, backlog_ms, answers,
                                       requests_by_urgency,
                                       backlog_ms_by_urgency)
          .msgpack_pack(packer);
    } else {
      msgpack::type::make_define_array(
          server, in_flight, backlog_ms, answers, requests_by_urgency,
          backlog_ms_by_urgency, speed.steps, speed.weight, tokens_by_urgency,
          late_answers)
          .msgpack_pack(packer);
    }
  }
  void msgpack_unpack(const msgpack::object& object) {
    msgpack::type::make_define_array(server, in_flight, backlog_ms, answers,
                                     requests_by_urgency, backlog_ms_by_urgency,
                                     speed.steps, speed.weight,
                                     tokens_by_urgency, late_answers)
        .msgpack_unpack(object);
  }
};

/// Sum of the loads of several gateways, by server.
class GatewayServerLoadSum {
 public:
  /// Adds the loads of one gateway.
  void Add(const std::vector<GatewayServerLoad>& loads) {
    for (const GatewayServerLoad& load : loads) {
      GatewayServerLoad& sum = sums_[load.server];
      sum.server = load.server;
      sum += load;
    }
  }
  /// Subtracts loads that were added by `Add` before.
  void Subtract(const std::vector<GatewayServerLoad>& loads) {
    for (const GatewayServerLoad& load : loads) {
      sums_[load.server] -= load;
    }
  }
  /// @return The sums of the servers that have any load.
  std::vector<GatewayServerLoad> Loads() const {
    std::vector<GatewayServerLoad> loads;
    loads.reserve(sums_.size());
    for (const auto& [server, load] : sums_) {
      if (!load.IsEmpty()) {
        loads.push_back(load);
      }
    }
    return loads;
  }

 private:
  std::map<uint64_t, GatewayServerLoad> sums_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_PLACEMENT_GATEWAY_SERVER_LOAD_H_
