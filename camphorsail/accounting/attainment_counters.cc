#include "camphorsail/accounting/attainment_counters.h"

namespace camphorsail {

double AttainmentCount::Attainment() const {
  const uint64_t counted = sent - caller_gone;
  return counted == 0
             ? 1.0
             : static_cast<double>(attained) / static_cast<double>(counted);
}

AttainmentCount& AttainmentCounters::CountOf(const Key& key) {
  const auto it = counts_.find(key);
  if (it != counts_.end()) {
    return it->second;
  }
  return counts_[counts_.size() < kMaxClasses ? key : Key()];
}

void AttainmentCounters::Record(const RequestResult& result) {
  AttainmentCount& count = CountOf({result.account, result.class_id});
  ++count.sent;
  count.wasted_tokens = count.wasted_tokens + result.discarded;
  switch (result.kind) {
    case RequestResult::Kind::kCompleted:
      if (result.total_on_time) {
        ++count.goodput;
        count.goodput_tokens = count.goodput_tokens + result.delivered;
        count.attained += result.first_token_on_time ? 1 : 0;
      }
      return;
    case RequestResult::Kind::kRefused:
      ++count.refused;
      return;
    case RequestResult::Kind::kFailed:
      ++count.failed;
      break;
    case RequestResult::Kind::kCallerGone:
      ++count.caller_gone;
      break;
  }
  // Tokens of an incomplete answer are wasted even if the caller received them.
  count.wasted_tokens = count.wasted_tokens + result.delivered;
}

void AttainmentCounters::Merge(const AttainmentCounters& other) {
  for (const auto& [key, from] : other.counts_) {
    AttainmentCount& to = CountOf(key);
    to.sent += from.sent;
    to.attained += from.attained;
    to.goodput += from.goodput;
    to.refused += from.refused;
    to.failed += from.failed;
    to.caller_gone += from.caller_gone;
    to.goodput_tokens = to.goodput_tokens + from.goodput_tokens;
    to.wasted_tokens = to.wasted_tokens + from.wasted_tokens;
  }
}

}  // namespace camphorsail
