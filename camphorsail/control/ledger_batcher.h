#ifndef CAMPHORSAIL_CONTROL_LEDGER_BATCHER_H_
#define CAMPHORSAIL_CONTROL_LEDGER_BATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/control/command_result.h"
#include "camphorsail/ledger/ledger_types.h"

namespace camphorsail {

/// Groups the ledger operations of this VM into batches that are committed as
/// one log entry each. The operations are opens, which record a request before
/// it is sent, and closes, which record its outcome. While the maximum number
/// of batches is in flight, new operations wait and share the next batch.
///
/// Owned by `ControlNode`. Not thread-safe.
class LedgerBatcher {
 public:
  /// The answer to one open of a batch.
  struct OpenAnswer {
    LedgerOpen open;
    Expected<LedgerOpenResult> result;
  };

  /// @param max_operations Maximum number of opens, and likewise of closes, in
  ///     one batch.
  /// @param max_in_flight Maximum number of batches that wait for an answer.
  LedgerBatcher(size_t max_operations, size_t max_in_flight);

  void AddOpen(LedgerOpen open);
  void AddClose(LedgerClose close);

  /// @return The next batch and its id for `OnAnswer`; nothing when no
  ///     operation waits or the maximum number of batches is in flight.
  std::optional<std::pair<uint64_t, LedgerBatch>> TakeBatch();

  /// Handles the outcome of a batch. After an error its opens fail. The batch
  /// may nevertheless be committed later, so for each of its opens a close with
  /// `not_run` is queued. The closes of the batch are queued again.
  /// @param answers One answer for each open of the batch is appended.
  void OnAnswer(uint64_t batch_id,
                const Expected<CommandResult>& result,
                std::vector<OpenAnswer>* answers);

 private:
  size_t max_operations_;
  size_t max_in_flight_;
  uint64_t next_batch_id_ = 1;
  std::deque<LedgerOpen> opens_;
  std::deque<LedgerClose> closes_;
  std::map<uint64_t, LedgerBatch> in_flight_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_LEDGER_BATCHER_H_
