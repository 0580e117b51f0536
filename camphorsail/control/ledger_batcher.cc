#include "camphorsail/control/ledger_batcher.h"

#include <utility>

namespace camphorsail {
namespace {

template <typename T>
void MoveUpTo(size_t limit, std::deque<T>* from, std::vector<T>* to) {
  while (to->size() < limit && !from->empty()) {
    to->push_back(std::move(from->front()));
    from->pop_front();
  }
}

LedgerClose CloseAsNotRun(const LedgerOpen& open) {
  LedgerClose close;
  close.key = open.key;
  close.request = open.request;
  close.attempt = open.attempt;
  close.not_run = true;
  return close;
}

}  // namespace

LedgerBatcher::LedgerBatcher(size_t max_operations, size_t max_in_flight)
    : max_operations_(max_operations), max_in_flight_(max_in_flight) {}

void LedgerBatcher::AddOpen(LedgerOpen open) {
  opens_.push_back(std::move(open));
}

void LedgerBatcher::AddClose(LedgerClose close) {
  closes_.push_back(std::move(close));
}

std::optional<std::pair<uint64_t, LedgerBatch>> LedgerBatcher::TakeBatch() {
  if (in_flight_.size() >= max_in_flight_ ||
      (opens_.empty() && closes_.empty())) {
    return std::nullopt;
  }
  LedgerBatch batch;
  MoveUpTo(max_operations_, &opens_, &batch.opens);
  MoveUpTo(max_operations_, &closes_, &batch.closes);
  const uint64_t id = next_batch_id_++;
  in_flight_.emplace(id, batch);
  return std::make_pair(id, std::move(batch));
}

void LedgerBatcher::OnAnswer(uint64_t batch_id,
                             const Expected<CommandResult>& result,
                             std::vector<OpenAnswer>* answers) {
  const auto position = in_flight_.find(batch_id);
  if (position == in_flight_.end()) {
    return;
  }
  LedgerBatch batch = std::move(position->second);
  in_flight_.erase(position);

  const bool applied = result.has_value() && !result->error.has_value() &&
                       result->opens.size() == batch.opens.size();
  for (size_t i = 0; i < batch.opens.size(); ++i) {
    if (applied) {
      answers->push_back(
          OpenAnswer{std::move(batch.opens[i]), result->opens[i]});
      continue;
    }
    closes_.push_back(CloseAsNotRun(batch.opens[i]));
    Error error{ErrorKind::kQuorumLost,
                "the ledger record was not committed in time; the request "
                "was not run",
                absl::Seconds(2)};
    answers->push_back(OpenAnswer{std::move(batch.opens[i]),
                                  tl::unexpected<Error>(std::move(error))});
  }
  if (!applied) {
    for (LedgerClose& close : batch.closes) {
      closes_.push_back(std::move(close));
    }
  }
}

}  // namespace camphorsail
