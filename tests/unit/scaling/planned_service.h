#ifndef TESTS_UNIT_SCALING_PLANNED_SERVICE_H_
#define TESTS_UNIT_SCALING_PLANNED_SERVICE_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "camphorsail/scaling/capacity_planner.h"
#include "gtest/gtest.h"
#include "tests/unit/scaling/fake_fleet.h"

namespace camphorsail {

/// A planner whose orders reach a `FakeFleet` at the rate and by the rules of
/// the duties, in virtual time. Every accepted order is checked against the
/// provider's limits.
class PlannedService {
 public:
  /// What was seen in a span of time.
  struct Span {
    int min_present = std::numeric_limits<int>::max();
    int max_present = 0;
    int orders = 0;
    int refusals = 0;
  };

  explicit PlannedService(FakeFleet fleet) : fleet_(std::move(fleet)) {}

  void SetDemand(std::function<double(double)> demand) {
    demand_ = std::move(demand);
  }
  void SetDemand(double demand) {
    demand_ = [demand](double) { return demand; };
  }
  /// Replaces the planner by that of another holder of the duties, which waits
  /// for a lease before its first call.
  void ChangeHolder() {
    planner_.emplace(CapacityPlannerSettings());
    wanted_.clear();
    differs_since_.clear();
    not_before_.clear();
    next_call_ = Now() + absl::Seconds(3);
  }

  Span RunUntil(double seconds) {
    Span span;
    for (; step_ < seconds * kStepsPerSecond; ++step_) {
      if (step_ % kStepsPerPlan == 0) {
        const double demand = demand_(Seconds());
        wanted_ = planner_->Plan(fleet_.Capacity(demand, Now()), Now());
      }
      SendOrder(&span);
      const int present = fleet_.Present(Now());
      span.min_present = std::min(span.min_present, present);
      span.max_present = std::max(span.max_present, present);
    }
    return span;
  }

  double Seconds() const { return step_ / kStepsPerSecond; }
  MonoTime Now() const {
    return MonoTime::FromNanos(1'000'000'000) + absl::Seconds(Seconds());
  }
  int Ordered() const {
    int ordered = 0;
    for (const auto& [subject, count] : fleet_.ordered()) {
      ordered += count;
    }
    return ordered;
  }
  FakeFleet& fleet() { return fleet_; }

 private:
  static constexpr double kStepsPerSecond = 10;
  /// The inputs of the duties are made every 500 ms.
  static constexpr int kStepsPerPlan = 5;
  static constexpr absl::Duration kCallInterval = absl::Milliseconds(200);
  static constexpr absl::Duration kConflictBackoff = absl::Seconds(2);

  bool NeedsOrder(const WantedServers& wanted) {
    const ServerOrderSubject& subject = wanted.order.subject;
    const auto ordered = fleet_.ordered().find(subject);
    if (Now() < not_before_[subject]) {
      return false;
    }
    if (ordered != fleet_.ordered().end() &&
        ordered->second != wanted.order.count) {
      return true;
    }
    if (wanted.present == wanted.order.count) {
      differs_since_.erase(subject);
      return false;
    }
    const MonoTime since = differs_since_.emplace(subject, Now()).first->second;
    return ordered == fleet_.ordered().end() ||
           Now() - since > wanted.settle_time;
  }

  /// Sends at most one order, one that adds servers first.
  void SendOrder(Span* span) {
    const WantedServers* next = nullptr;
    for (const WantedServers& wanted : wanted_) {
      if (NeedsOrder(wanted) &&
          (next == nullptr || (next->order.count <= next->present &&
                               wanted.order.count > wanted.present))) {
        next = &wanted;
      }
    }
    if (next == nullptr || Now() < next_call_) {
      return;
    }
    next_call_ = Now() + kCallInterval;
    const ServerOrderSubject& subject = next->order.subject;
    if (fleet_.OnOrder(next->order, Now()) == ProviderOutcome::kConflict) {
      ++span->refusals;
      not_before_[subject] = Now() + kConflictBackoff;
      planner_->OnShortage(subject, Now());
      return;
    }
    ++span->orders;
    differs_since_.erase(subject);
    CheckLimits(subject);
  }

  void CheckLimits(const ServerOrderSubject& subject) {
    int both = 0;
    for (const ServerTenure tenure :
         {ServerTenure::kRegular, ServerTenure::kReclaimable}) {
      const ServerOrderSubject kind{subject.service, subject.failure_domain,
                                    tenure};
      const auto ordered = fleet_.ordered().find(kind);
      both += ordered == fleet_.ordered().end() ? fleet_.Present(kind, Now())
                                                : ordered->second;
    }
    EXPECT_LE(both, fleet_.scaling().max_servers) << "at " << Seconds();
    EXPECT_GE(both, fleet_.scaling().min_servers) << "at " << Seconds();
  }

  FakeFleet fleet_;
  std::optional<CapacityPlanner> planner_{CapacityPlannerSettings()};
  std::function<double(double)> demand_ = [](double) { return 0.0; };
  std::vector<WantedServers> wanted_;
  std::map<ServerOrderSubject, MonoTime> differs_since_;
  std::map<ServerOrderSubject, MonoTime> not_before_;
  MonoTime next_call_;
  int step_ = 0;
};

}  // namespace camphorsail

#endif  // TESTS_UNIT_SCALING_PLANNED_SERVICE_H_
