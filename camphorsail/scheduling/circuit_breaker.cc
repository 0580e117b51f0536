#include "camphorsail/scheduling/circuit_breaker.h"

namespace camphorsail {

void CircuitBreaker::History::Add(bool failure, uint32_t size) {
  if (failed.size() < size) {
    failed.push_back(failure);
  } else {
    failures -= failed[next] ? 1 : 0;
    failed[next] = failure;
    next = (next + 1) % size;
  }
  failures += failure ? 1 : 0;
}

double CircuitBreaker::History::FailureRatio() const {
  return failed.empty() ? 0
                        : static_cast<double>(failures) /
                              static_cast<double>(failed.size());
}

void CircuitBreaker::OnOutcome(bool success) {
  if (!open_) {
    normal_.Add(!success, settings_.history_size);
    if (normal_.failed.size() >= settings_.min_outcomes &&
        normal_.FailureRatio() >= settings_.failure_threshold) {
      open_ = true;
      skipped_ = 0;
      group_left_ = 0;
      test_ = History();
    }
    return;
  }
  test_.Add(!success, settings_.test_history_size);
  if (test_.failed.size() >= settings_.test_group_size &&
      test_.FailureRatio() < settings_.failure_threshold) {
    open_ = false;
    normal_ = History();
  }
}

bool CircuitBreaker::Allow() {
  if (!open_) {
    return true;
  }
  if (group_left_ > 0) {
    --group_left_;
    return true;
  }
  if (++skipped_ >= settings_.skipped_per_group) {
    skipped_ = 0;
    group_left_ = settings_.test_group_size;
  }
  return false;
}

}  // namespace camphorsail
