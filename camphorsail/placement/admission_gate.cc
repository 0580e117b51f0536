#include "camphorsail/placement/admission_gate.h"

#include <algorithm>

namespace camphorsail {
namespace {

/// Weight of the latest request in the average work of an urgency.
constexpr double kLatestWeight = 0.05;
/// Bounds of the ratio of actual to expected time. An answer that is far off
/// says more about its server than about the queue.
constexpr double kMinWaitRatio = 0.2;
constexpr double kMaxWaitRatio = 5;

}  // namespace

UrgencySet AdmissionGate::Recent(std::optional<MonoTime> Level::*time,
                                 absl::Duration period,
                                 MonoTime now) const {
  UrgencySet recent;
  for (int i = 0; i < kUrgencyLevels; ++i) {
    const std::optional<MonoTime>& at = levels_[i].*time;
    if (at.has_value() && now - *at < period) {
      recent.Add(Urgency(i));
    }
  }
  return recent;
}

ServiceAdmissionState AdmissionGate::OwnState(MonoTime now) const {
  ServiceAdmissionState state;
  state.late = Recent(&Level::late_at, kLatePeriod, now);
  state.started = Recent(&Level::started_at, kOrderPeriod, now);
  return state;
}

UrgencySet AdmissionGate::Late(MonoTime now) const {
  UrgencySet late = Recent(&Level::late_at, kLatePeriod, now);
  if (fleet_at_.has_value() && now - *fleet_at_ < kFleetStateLifetime) {
    late |= fleet_.late;
  }
  return late;
}

UrgencySet AdmissionGate::Started(MonoTime now) const {
  UrgencySet started = Recent(&Level::started_at, kOrderPeriod, now);
  if (fleet_at_.has_value() && now - *fleet_at_ < kFleetStateLifetime) {
    started |= fleet_.started;
  }
  return started;
}

UrgencySet AdmissionGate::LargerAndLessUrgent(const UrgencySet& set,
                                              Urgency urgency) const {
  UrgencySet larger;
  for (int i = urgency.value() + 1; i < kUrgencyLevels; ++i) {
    // Requests that only other gateways have seen count as large.
    if (set.Contains(Urgency(i)) &&
        (!levels_[i].arrived_at.has_value() ||
         levels_[i].work_ms >= levels_[urgency.value()].work_ms)) {
      larger.Add(Urgency(i));
    }
  }
  return larger;
}

void AdmissionGate::OnArrival(Urgency urgency, double work_ms, MonoTime now) {
  Level& level = levels_[urgency.value()];
  level.work_ms += (level.arrived_at.has_value() ? kLatestWeight : 1) *
                   (work_ms - level.work_ms);
  level.arrived_at = now;
}

void AdmissionGate::OnQueuedAnswer(Urgency urgency,
                                   absl::Duration expected,
                                   absl::Duration actual) {
  if (expected <= absl::ZeroDuration()) {
    return;
  }
  double& ratio = levels_[urgency.value()].wait_ratio;
  ratio += kLatestWeight * (std::clamp(absl::FDivDuration(actual, expected),
                                       kMinWaitRatio, kMaxWaitRatio) -
                            ratio);
}

bool AdmissionGate::TakeCredit(double part, double* credit) {
  *credit += 1 - part;
  if (*credit < 1) {
    return false;
  }
  *credit -= 1;
  return true;
}

AdmissionGate::Verdict AdmissionGate::Judge(Urgency urgency,
                                            absl::Duration expected,
                                            absl::Duration limit,
                                            MonoTime now) {
  Update(now);
  if (limit == absl::InfiniteDuration()) {
    return Verdict::kAdmit;
  }
  Level& level = levels_[urgency.value()];
  if (level.refused_share > 0 &&
      !TakeCredit(level.refused_share, &level.credit)) {
    return Verdict::kClosed;
  }
  if (expected * level.wait_ratio <= limit) {
    return Verdict::kAdmit;
  }
  level.late_at = now;
  return IsLast(urgency, now) ? Verdict::kTooLate : Verdict::kAdmit;
}

AdmissionGate::Verdict AdmissionGate::Judge(Urgency urgency,
                                            const AccountRequest& request,
                                            absl::Duration expected,
                                            absl::Duration limit,
                                            MonoTime now) {
  Update(now);
  UrgencyFractions closed{};
  for (int i = 0; i < kUrgencyLevels; ++i) {
    closed[i] = levels_[i].refused_share;
  }
  accounts_.Update(closed, now);
  if (limit == absl::InfiniteDuration()) {
    return Verdict::kAdmit;
  }
  Level& level = levels_[urgency.value()];
  if (level.refused_share > 0 &&
      // An urgency that is closed whole is closed to accounts that are not
      // known yet, too.
      !TakeCredit(level.refused_share < 1
                      ? accounts_.ClosedPart(request.account, urgency)
                      : 1,
                  &level.credit)) {
    return Verdict::kClosed;
  }
  const absl::Duration wait = expected * level.wait_ratio;
  const double above = accounts_.AbovePart(request.account, urgency);
  if (above > 0 && !TakeCredit(above, &level.share_credit) &&
      wait > limit * kAboveShareWait && IsLast(urgency, now)) {
    accounts_.OnRefusedLate(urgency, request.work_ms, now);
    return Verdict::kAboveShare;
  }
  if (wait <= limit) {
    return Verdict::kAdmit;
  }
  level.late_at = now;
  if (!IsLast(urgency, now)) {
    return Verdict::kAdmit;
  }
  accounts_.OnRefusedLate(urgency, request.work_ms, now);
  return Verdict::kTooLate;
}

bool AdmissionGate::IsRefusing(MonoTime now) const {
  return accounts_.IsOverloaded(now) ||
         std::any_of(levels_.begin(), levels_.end(), [](const Level& level) {
           return level.refused_share > 0;
         });
}

void AdmissionGate::Update(MonoTime now) {
  if (updated_at_.has_value() && now - *updated_at_ < kStepInterval) {
    return;
  }
  updated_at_ = now;
  const UrgencySet late = Late(now);
  const UrgencySet arrived = Recent(&Level::arrived_at, kOrderPeriod, now);
  UrgencySet in_the_way;
  for (int i = 0; i < kUrgencyLevels; ++i) {
    if (late.Contains(Urgency(i))) {
      in_the_way |= LargerAndLessUrgent(arrived, Urgency(i));
    }
  }
  // The least urgent requests are refused first. What need not be refused any
  // longer is accepted again at the same time, so that the least urgent do not
  // wait for all others when servers come back.
  for (int i = kUrgencyLevels - 1; i >= 0; --i) {
    if (in_the_way.Contains(Urgency(i)) && levels_[i].refused_share < 1) {
      ChangeShare(Urgency(i), kCloseStep);
      return;
    }
  }
  for (int i = 0; i < kUrgencyLevels; ++i) {
    if (!in_the_way.Contains(Urgency(i)) && levels_[i].refused_share > 0) {
      ChangeShare(Urgency(i), -kOpenStep);
    }
  }
}

void AdmissionGate::ChangeShare(Urgency urgency, double change) {
  double& share = levels_[urgency.value()].refused_share;
  // A share that is almost 0 or 1 is a rounding error.
  share = share + change < kOpenStep / 2       ? 0
          : share + change > 1 - kOpenStep / 2 ? 1
                                               : share + change;
  changed_.Add(urgency);
}

}  // namespace camphorsail
