#ifndef TESTS_UNIT_PLACEMENT_PACED_FLEET_H_
#define TESTS_UNIT_PLACEMENT_PACED_FLEET_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/base/random.h"
#include "camphorsail/placement/placement.h"

namespace camphorsail {

/// A plain service in virtual time: servers with slots and a queue, behind
/// gateways that share their loads every 250 ms.
class PacedFleet {
 public:
  enum class Policy { kPace, kNone, kRamp };

  struct Parameters {
    Policy policy = Policy::kPace;
    int gateways = 33;
    int servers = 12;
    /// Servers that come back at the time 0.
    int returning = 3;
    int slots = 6;
    double call_ms = 300;
    /// Calls of all callers together, as a fraction of the capacity.
    double utilization = 0.6;
    /// Factor on the duration of a call at a returning server: at first, and
    /// once it has answered `cold_answers`.
    double cold_factor = 1;
    double warm_factor = 1;
    int cold_answers = 0;
    /// Time at which the ramp ends.
    absl::Duration ramp = absl::Seconds(10);
  };

  struct Result {
    /// Most requests that waited at a returning server in the first 2 s.
    int largest_queue = 0;
    /// Most requests on a returning server in the first 250 ms.
    int first_requests = 0;
    /// Time until the returning servers have answered three quarters of their
    /// share of the last second; infinite when they never did.
    absl::Duration until_share = absl::InfiniteDuration();
    /// Time until no gateway paces a server.
    absl::Duration until_open = absl::InfiniteDuration();
    double late_fraction = 0;
  };

  explicit PacedFleet(const Parameters& parameters)
      : parameters_(parameters),
        random_(7),
        servers_(parameters.servers),
        shared_(parameters.servers) {
    for (int g = 0; g < parameters_.gateways; ++g) {
      auto gateway = std::make_unique<Gateway>(g + 1);
      gateway->placement.SetGatewayCount(parameters_.gateways);
      for (int i = 0; i < 20; ++i) {
        gateway->model.engine().OnCall(absl::Milliseconds(parameters_.call_ms));
      }
      for (int s = 0; s < parameters_.servers; ++s) {
        auto server = MakeRef<BackendServer>();
        server->id = BackendServerId("s" + std::to_string(s));
        server->hash = MixBits(Fnv1a64(server->id.value()));
        server->slots = parameters_.slots;
        gateway->servers.push_back(server);
      }
      gateways_.push_back(std::move(gateway));
    }
  }

  Result Run(absl::Duration time) {
    constexpr absl::Duration kStep = absl::Milliseconds(5);
    for (now_ = Start() - absl::Seconds(3); now_ < Start() + time;
         now_ = now_ + kStep) {
      if (now_ >= Start() && !has_returned_) {
        has_returned_ = true;
        Return();
      }
      due_ += absl::ToDoubleMilliseconds(kStep) * CallsPerMs();
      for (; due_ >= 1; due_ -= 1) {
        Send(random_.Below(gateways_.size()));
      }
      for (int s = 0; s < parameters_.servers; ++s) {
        Work(s);
      }
      for (size_t g = 0; g < gateways_.size(); ++g) {
        if ((now_ - Start() + absl::Seconds(100)) % absl::Milliseconds(250) ==
            kStep * (g % 50)) {
          Share(g);
        }
      }
      if (now_ >= Start()) {
        Measure();
      }
    }
    result_.late_fraction = late_ / std::max(1.0, answered_);
    return result_;
  }

 private:
  struct Call {
    size_t gateway;
    uint64_t number;
    MonoTime sent_at;
    absl::Duration expected;
    MonoTime ends_at;
  };
  struct Server {
    std::deque<Call> running;
    std::deque<Call> waiting;
    std::deque<MonoTime> answers;
    int answered = 0;
  };
  struct Gateway {
    explicit Gateway(uint64_t seed) : placement(PlacementSettings(), seed) {}
    Placement placement;
    ServiceModel model;
    BackendServers servers;
    std::vector<GatewayServerLoad> shared;
  };

  static MonoTime Start() { return MonoTime() + absl::Seconds(1000); }
  bool IsReturning(int server) const { return server < parameters_.returning; }
  double CallsPerMs() const {
    return parameters_.utilization * parameters_.servers * parameters_.slots /
           parameters_.call_ms;
  }
  double Factor(int server) const {
    return !IsReturning(server) ? 1
           : servers_[server].answered < parameters_.cold_answers
               ? parameters_.cold_factor
               : parameters_.warm_factor;
  }

  void Return() {
    for (const auto& gateway : gateways_) {
      for (int s = 0; s < parameters_.returning; ++s) {
        if (parameters_.policy == Policy::kPace) {
          gateway->servers[s]->pace.Begin(parameters_.slots, now_);
        }
      }
    }
  }

  void Send(size_t g) {
    Gateway& gateway = *gateways_[g];
    PlacementRequest request;
    request.objective = absl::Milliseconds(parameters_.call_ms * 5);
    for (int s = 0; s < parameters_.returning; ++s) {
      const bool is_out =
          now_ < Start() ||
          (parameters_.policy == Policy::kRamp &&
           random_.Uniform() >
               absl::FDivDuration(now_ - Start(), parameters_.ramp));
      if (is_out) {
        request.failed_servers.push_back(gateway.servers[s]->id);
      }
    }
    const PlacementChoice choice =
        gateway.placement.Choose(gateway.servers, request, gateway.model, now_);
    const auto s = std::find(gateway.servers.begin(), gateway.servers.end(),
                             choice.server) -
                   gateway.servers.begin();
    const uint64_t number =
        choice.server->OnDispatch(absl::ZeroDuration(), Urgency(0), now_);
    servers_[s].waiting.push_back({g, number, now_, choice.expected, {}});
  }

  void Work(int s) {
    Server& server = servers_[s];
    std::erase_if(server.running, [&](const Call& call) {
      if (call.ends_at > now_) {
        return false;
      }
      BackendServer& view = *gateways_[call.gateway]->servers[s];
      view.OnFirstAnswer(call.number, now_);
      view.OnFinished(Urgency(0));
      const absl::Duration first = now_ - call.sent_at;
      const double ratio = absl::FDivDuration(first, call.expected);
      view.health.OnSuccess(now_);
      view.health.OnResponseTime(ratio, now_);
      const absl::Duration objective =
          absl::Milliseconds(parameters_.call_ms * 5);
      view.pace.OnAnswer({call.sent_at, first, ratio, objective},
                         parameters_.slots, now_);
      ++server.answered;
      server.answers.push_back(now_);
      answered_ += now_ >= Start() ? 1 : 0;
      late_ += now_ >= Start() && first > objective ? 1 : 0;
      return true;
    });
    while (!server.waiting.empty() &&
           server.running.size() < static_cast<size_t>(parameters_.slots)) {
      Call call = server.waiting.front();
      server.waiting.pop_front();
      call.ends_at = now_ + absl::Milliseconds(parameters_.call_ms * Factor(s) *
                                               (0.7 + 0.6 * random_.Uniform()));
      server.running.push_back(call);
    }
    while (!server.answers.empty() &&
           now_ - server.answers.front() > absl::Seconds(1)) {
      server.answers.pop_front();
    }
  }

  void Share(size_t g) {
    std::vector<GatewayServerLoad>& own = gateways_[g]->shared;
    own.resize(parameters_.servers);
    std::vector<GatewayServerLoad> others(parameters_.servers);
    double answers = 0;
    for (int s = 0; s < parameters_.servers; ++s) {
      shared_[s] -= own[s];
      others[s] = shared_[s];
      answers += others[s].answers;
      own[s] = gateways_[g]->servers[s]->TakeOwnLoad(now_);
      shared_[s] += own[s];
    }
    for (size_t s = 0; s < others.size(); ++s) {
      BackendServer& server = *gateways_[g]->servers[s];
      server.OnOtherGatewaysLoad(others[s], now_);
      server.pace.OnSharedAnswers(
          {static_cast<double>(others[s].in_flight),
           static_cast<double>(others[s].answers),
           static_cast<double>(others[s].late_answers), answers},
          parameters_.slots, now_);
    }
  }

  void Measure() {
    double returning = 0;
    double others = 0;
    for (int s = 0; s < parameters_.servers; ++s) {
      const Server& server = servers_[s];
      (IsReturning(s) ? returning : others) +=
          static_cast<double>(server.answers.size());
      if (IsReturning(s)) {
        if (now_ - Start() < absl::Seconds(2)) {
          result_.largest_queue = std::max(
              result_.largest_queue, static_cast<int>(server.waiting.size()));
        }
        if (now_ - Start() < absl::Milliseconds(250)) {
          result_.first_requests = std::max(
              result_.first_requests,
              static_cast<int>(server.waiting.size() + server.running.size()));
        }
      }
    }
    const double share = 0.75 * parameters_.returning /
                         (parameters_.servers - parameters_.returning) /
                         parameters_.warm_factor;
    if (result_.until_share == absl::InfiniteDuration() &&
        returning >= share * others) {
      result_.until_share = now_ - Start();
    }
    const bool is_paced = std::any_of(
        gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
          return std::any_of(
              gateway->servers.begin(), gateway->servers.end(),
              [](const auto& server) { return server->pace.is_active(); });
        });
    if (!is_paced && result_.until_open == absl::InfiniteDuration()) {
      result_.until_open = now_ - Start();
    }
  }

  const Parameters parameters_;
  Random random_;
  std::vector<Server> servers_;
  std::vector<GatewayServerLoad> shared_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  MonoTime now_;
  bool has_returned_ = false;
  double due_ = 0;
  double answered_ = 0;
  double late_ = 0;
  Result result_;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_PLACEMENT_PACED_FLEET_H_
