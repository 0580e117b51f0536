#ifndef CAMPHORSAIL_ACCOUNTING_ATTAINMENT_COUNTERS_H_
#define CAMPHORSAIL_ACCOUNTING_ATTAINMENT_COUNTERS_H_

#include <cstdint>
#include <map>
#include <utility>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/units.h"

namespace camphorsail {

/// How one request ended.
struct RequestResult {
  ClientAccountId account;
  ClassId class_id;
  enum class Kind : uint8_t {
    /// Answered completely and exactly once.
    kCompleted,
    /// Refused without being run on a backend server.
    kRefused,
    /// Accepted, but not answered completely.
    kFailed,
    /// The caller disconnected before the answer was complete.
    kCallerGone,
  };
  Kind kind = Kind::kCompleted;
  /// The first token met the class's time-to-first-token target.
  bool first_token_on_time = false;
  /// The complete answer met the class's total target.
  bool total_on_time = false;
  /// Output tokens that the caller received.
  Tokens delivered{};
  /// Output tokens of all attempts that the caller did not receive.
  Tokens discarded{};
};

/// Request and token counts of one class of one account.
struct AttainmentCount {
  /// Requests sent by callers, however they ended.
  uint64_t sent = 0;
  /// Answers whose first token and last token were both on time.
  uint64_t attained = 0;
  /// Requests answered completely, exactly once and within the total target.
  uint64_t goodput = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t caller_gone = 0;
  Tokens goodput_tokens;
  /// Output tokens that were discarded or belong to incomplete answers.
  Tokens wasted_tokens;

  /// @return The fraction of requests that attained their targets, not counting
  /// those whose caller disconnected; 1 when there are none.
  double Attainment() const;

  friend bool operator==(const AttainmentCount&,
                         const AttainmentCount&) = default;
};

/// Attainment, goodput and wasted tokens of one VM by account and class. At
/// most `kMaxClasses` are counted separately; further classes are counted
/// together under empty names. Owned by one shard; not thread-safe.
class AttainmentCounters {
 public:
  using Key = std::pair<ClientAccountId, ClassId>;
  /// Maximum number of classes that are counted separately; about the number of
  /// classes at the system's target size.
  static constexpr size_t kMaxClasses = 10000;

  void Record(const RequestResult& result);
  /// Adds the counts of another shard or VM.
  void Merge(const AttainmentCounters& other);

  const std::map<Key, AttainmentCount>& counts() const { return counts_; }

 private:
  AttainmentCount& CountOf(const Key& key);

  std::map<Key, AttainmentCount> counts_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ACCOUNTING_ATTAINMENT_COUNTERS_H_
