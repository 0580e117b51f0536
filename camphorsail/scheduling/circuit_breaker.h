#ifndef CAMPHORSAIL_SCHEDULING_CIRCUIT_BREAKER_H_
#define CAMPHORSAIL_SCHEDULING_CIRCUIT_BREAKER_H_

#include <cstdint>
#include <vector>

namespace camphorsail {

/// Sizes and threshold of a `CircuitBreaker`.
struct CircuitBreakerSettings {
  /// Number of outcomes of normal requests that are kept.
  uint32_t history_size = 1000;
  /// Number of outcomes needed before the circuit can open.
  uint32_t min_outcomes = 100;
  /// Ratio of failures to outcomes at which the circuit opens.
  double failure_threshold = 0.95;
  /// Number of outcomes of test requests that are kept.
  uint32_t test_history_size = 100;
  /// Number of requests rejected between two test groups.
  uint32_t skipped_per_group = 1000;
  /// Number of requests allowed per test group.
  uint32_t test_group_size = 5;
};

/// A circuit breaker for one backend server, with one history for normal
/// requests and one for test requests. While the circuit is open, it allows
/// only small groups of test requests and closes when enough of them succeed.
/// Kept for comparison with outlier detection; see docs/bench.md. Guarded by
/// the lock of the scheduler's shard.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(const CircuitBreakerSettings& settings)
      : settings_(settings) {}

  /// Records how a request on the server ended.
  void OnOutcome(bool success);
  /// Called when the server is considered for a request.
  /// @return True when the request may be sent.
  bool Allow();
  bool IsOpen() const { return open_; }

 private:
  /// The last outcomes and the number of failures among them.
  struct History {
    std::vector<bool> failed;
    uint32_t next = 0;
    uint32_t failures = 0;

    void Add(bool failure, uint32_t size);
    double FailureRatio() const;
  };

  CircuitBreakerSettings settings_;
  History normal_;
  History test_;
  bool open_ = false;
  /// Number of requests rejected since the last test group.
  uint32_t skipped_ = 0;
  /// Number of requests of the current test group that may still be sent.
  uint32_t group_left_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SCHEDULING_CIRCUIT_BREAKER_H_
