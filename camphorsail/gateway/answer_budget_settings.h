#ifndef CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_SETTINGS_H_
#define CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_SETTINGS_H_

#include <algorithm>
#include <cstddef>

namespace camphorsail {

/// Limits of the answers that a gateway holds.
struct AnswerBudgetSettings {
  /// Maximum bytes of one answer, or of one event of a stream, that are held
  /// until it is complete.
  size_t max_answer_bytes = 8 << 20;
  /// Maximum bytes of all answers that are not complete, or that their callers
  /// have not taken yet.
  size_t max_total_bytes = 64 << 20;

  /// @param memory_bytes Memory limit of the process; 0 for no limit.
  /// @return Limits that leave three quarters of the memory for the rest of the
  /// process.
  static AnswerBudgetSettings For(size_t memory_bytes) {
    AnswerBudgetSettings settings;
    if (memory_bytes > 0) {
      settings.max_total_bytes = memory_bytes / 4;
      settings.max_answer_bytes =
          std::min(settings.max_answer_bytes, settings.max_total_bytes);
    }
    return settings;
  }
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_SETTINGS_H_
