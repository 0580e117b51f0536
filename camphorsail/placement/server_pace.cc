#include "camphorsail/placement/server_pace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorsail {
namespace {

/// The lowest limit, as a fraction of the server's slots, and at least.
constexpr double kFirstFraction = 1.0 / 8;
constexpr double kMinLimit = 2;
/// A limit of which less than this fraction is used grows more slowly.
constexpr double kUsedFraction = 0.5;
/// Ratio of response times, relative to the server's own, up to which an answer
/// is not late. Smaller differences come from queues and prompt lengths.
constexpr double kNoiseRatio = 2;
/// Weights of an answer in the server's own ratio, below and above it.
constexpr double kLowerRatioWeight = 0.3;
constexpr double kHigherRatioWeight = 0.05;
/// Fraction of the latency objective up to which a response time is never late.
constexpr double kHarmlessFraction = 0.1;
/// Objective that is assumed for a route without one.
constexpr absl::Duration kDefaultObjective = absl::Seconds(1);
/// Weight of the latest answer in the share of late answers.
constexpr double kLatestWeight = 0.2;
/// Share of late answers from which on the limit is lowered. One late answer
/// after good ones is below it, two in a row are above.
constexpr double kMaxLateShare = 0.25;
/// Factors by which the limit is lowered.
constexpr double kLateFactor = 0.7;
constexpr double kFailureFactor = 0.5;
/// Growth of the limit by a good answer while there are fewer requests than the
/// limit allows, so that the server has not shown that it can serve more.
constexpr double kUnusedGrowth = 0.25;
/// Length of a turn while no shared loads arrive.
constexpr absl::Duration kTurnWithoutSharedLoad = absl::Seconds(1);

}  // namespace

void ServerPace::Begin(int slots, MonoTime now) {
  const uint32_t late = new_late_answers_;
  *this = ServerPace();
  new_late_answers_ = late;
  is_active_ = true;
  first_limit_ =
      std::min<double>(slots, std::max(kMinLimit, slots * kFirstFraction));
  limit_ = first_limit_;
  began_at_ = now;
  lowered_at_ = now;
  BeginTurn(now);
}

void ServerPace::BeginTurn(MonoTime now) {
  turn_at_ = now;
  lot_.reset();
  was_in_use_ = std::exchange(is_in_use_, false);
}

bool ServerPace::Admits(const Load& load,
                        Bound bound,
                        MonoTime now,
                        Random* random) {
  if (!is_active_) {
    return true;
  }
  const bool has_room = HasRoom(load, bound, now, random);
  is_in_use_ = is_in_use_ || !has_room;
  return has_room;
}

bool ServerPace::HasRoom(const Load& load,
                         Bound bound,
                         MonoTime now,
                         Random* random) {
  const double most =
      bound == Bound::kSlots ? std::max<double>(load.slots, limit_) : limit_;
  if (load.gateways <= 1) {
    return load.own < most;
  }
  if (!load.others.has_value() && now - turn_at_ >= kTurnWithoutSharedLoad) {
    BeginTurn(now);
  }
  if (!lot_.has_value()) {
    lot_ = random->Uniform();
    own_at_draw_ = load.own;
    load_at_draw_ = load.own + load.others.value_or(0);
  }
  if (!load.others.has_value()) {
    return load.own < std::floor(most / load.gateways + *lot_);
  }
  if (load.own + *load.others >= most) {
    return false;
  }
  // Gateways that have at least one request to send in a turn, if requests
  // arrive at random.
  const double gateways = load.gateways;
  const double senders =
      service_answers_ > 0
          ? gateways * (1 - std::exp(-service_answers_ / gateways))
          : gateways;
  const double free = std::max(0.0, most - load_at_draw_);
  return load.own <
         own_at_draw_ + std::floor(free / std::max(1.0, senders) + *lot_);
}

bool ServerPace::IsLate(const Answer& answer) {
  const absl::Duration objective = answer.objective > absl::ZeroDuration()
                                       ? answer.objective
                                       : kDefaultObjective;
  if (base_ratio_ == 0) {
    base_ratio_ = answer.ratio;
  }
  // The quickest answers show the speed of the server; the others have waited
  // for each other.
  base_ratio_ +=
      (answer.ratio < base_ratio_ ? kLowerRatioWeight : kHigherRatioWeight) *
      (answer.ratio - base_ratio_);
  const double base = std::max(1.0, base_ratio_);
  if (answer.ratio > kNoiseRatio && answer.first > objective) {
    return true;
  }
  return answer.ratio > base * kNoiseRatio &&
         answer.first > objective * kHarmlessFraction;
}

void ServerPace::OnAnswer(const Answer& answer, int slots, MonoTime now) {
  if (!is_active_) {
    return;
  }
  const bool is_late = answer.ratio > 0 && IsLate(answer);
  if (is_late) {
    ++new_late_answers_;
  }
  // Requests that were sent before the limit was lowered do not show whether it
  // is low enough now.
  if (is_late && answer.started_at < lowered_at_) {
    return;
  }
  OnAnswers(is_late ? 0 : 1, is_late ? 1 : 0, slots, now);
}

void ServerPace::OnFailure(MonoTime now) {
  if (is_active_) {
    ++new_late_answers_;
    Lower(kFailureFactor, now);
  }
}

void ServerPace::OnSharedAnswers(const SharedAnswers& shared,
                                 int slots,
                                 MonoTime now) {
  if (!is_active_) {
    return;
  }
  const bool was_lowered_in_turn = lowered_at_ > turn_at_;
  BeginTurn(now);
  service_answers_ = shared.service_answers;
  is_in_use_ = shared.in_flight + shared.answers >= limit_ * kUsedFraction;
  OnAnswers(std::max(0.0, shared.answers - shared.late),
            was_lowered_in_turn ? 0 : shared.late, slots, now);
}

void ServerPace::OnAnswers(double good, double late, int slots, MonoTime now) {
  const double count = good + late;
  if (count <= 0) {
    return;
  }
  const double kept = std::pow(1 - kLatestWeight, count);
  late_share_ = late_share_ * kept + late / count * (1 - kept);
  if (late > 0 && late_share_ > kMaxLateShare) {
    Lower(kLateFactor, now);
    return;
  }
  good_answers_ += good;
  const bool is_in_use = is_in_use_ || was_in_use_;
  limit_ += good * (is_in_use ? 1 : kUnusedGrowth);
  if (limit_ >= slots) {
    is_active_ = false;
    ended_ = Summary{now - began_at_, static_cast<int>(good_answers_)};
  }
}

void ServerPace::Lower(double factor, MonoTime now) {
  limit_ = std::max(first_limit_, limit_ * factor);
  late_share_ = 0;
  lowered_at_ = now;
}

uint32_t ServerPace::TakeLateAnswers() {
  return std::exchange(new_late_answers_, 0);
}

std::optional<ServerPace::Summary> ServerPace::TakeEnded() {
  return std::exchange(ended_, std::nullopt);
}

}  // namespace camphorsail
