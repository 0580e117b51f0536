#ifndef CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_H_
#define CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_H_

#include <algorithm>
#include <cstddef>

namespace camphorsail {

/// Settings of an `AnswerBudget`.
struct AnswerBudgetSettings {
  /// Maximum bytes of one answer, or of one event of a stream, that are held
  /// until it is complete.
  size_t max_answer_bytes = 8 << 20;
  /// Maximum bytes of all incomplete answers together.
  size_t max_total_bytes = 64 << 20;

  /// @param memory_bytes Memory limit of the process; 0 for no limit.
  /// @return Limits that leave seven eighths of the memory for the rest of the
  /// process.
  static AnswerBudgetSettings For(size_t memory_bytes) {
    AnswerBudgetSettings settings;
    if (memory_bytes > 0) {
      settings.max_total_bytes = memory_bytes / 8;
      settings.max_answer_bytes =
          std::min(settings.max_answer_bytes, settings.max_total_bytes);
    }
    return settings;
  }
};

/// Limits the bytes of incomplete answers that a gateway holds, so that servers
/// that send without end cannot exhaust its memory. Not thread-safe; used on
/// the event loop's thread only.
class AnswerBudget {
 public:
  explicit AnswerBudget(const AnswerBudgetSettings& settings)
      : settings_(settings) {}

  /// Takes a new size of an answer into account.
  /// @param size Bytes of the answer that are held now.
  /// @param held The size that was taken into account before; set to `size`.
  /// @return False when a limit is exceeded.
  bool Update(size_t size, size_t* held) {
    total_ = total_ - *held + size;
    *held = size;
    return size <= settings_.max_answer_bytes &&
           total_ <= settings_.max_total_bytes;
  }
  /// @return Bytes of all incomplete answers.
  size_t total() const { return total_; }

 private:
  const AnswerBudgetSettings settings_;
  size_t total_ = 0;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_GATEWAY_ANSWER_BUDGET_H_
