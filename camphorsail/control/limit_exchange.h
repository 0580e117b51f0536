#ifndef CAMPHORSAIL_CONTROL_LIMIT_EXCHANGE_H_
#define CAMPHORSAIL_CONTROL_LIMIT_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/mono_time.h"
#include "camphorsail/control/control_action.h"
#include "camphorsail/control/effective_settings.h"
#include "camphorsail/limits/limit_allocator.h"
#include "camphorsail/limits/limit_types.h"

namespace camphorsail {

/// The account limits on the control path of one VM: sends this VM's demand to
/// the leader and, while this VM is the leader, divides the limits among the
/// VMs. None of this is stored in the replicated log. Owned by a `ControlNode`.
class LimitExchange {
 public:
  /// @param settings Settings of the allocator.
  /// @param vm This VM.
  /// @param first_sequence Sequence number of the first report. Must be random,
  ///     so that an answer to an earlier process of this VM matches no report
  ///     of this process.
  LimitExchange(const LimitAllocatorSettings& settings,
                VmId vm,
                uint64_t first_sequence);

  /// @return A demand report, which must be sent to the leader now.
  LimitDemandReport MakeReport(std::vector<LimitDemand> demands, MonoTime now);
  /// Handles the leader's answer.
  /// @return The shares to publish; nothing when the answer belongs to no
  ///     report of this VM, or to one so old that the limit lease of its
  ///     grants has ended.
  std::optional<PublishLimitsAction> OnGrants(const LimitGrantBatch& batch,
                                              MonoTime now);

  /// @param leads Whether this VM is the leader of `term`. The first call with
  ///     true in a term starts the new leader's waiting time, in which it
  ///     grants nothing.
  void SetLeadership(bool leads, TermNumber term, MonoTime now);
  /// Takes the limits of the accounts from the settings.
  void SetSettings(const EffectiveSettings& settings);
  /// @param quorum_contact See `LimitAllocator::OnDemand`.
  /// @return The leader's answer; without grants when this VM is not the
  /// leader.
  LimitGrantBatch OnReport(const LimitDemandReport& report,
                           MonoTime now,
                           MonoTime quorum_contact);

 private:
  const LimitAllocatorSettings settings_;
  const VmId vm_;
  uint64_t next_sequence_;
  /// When each report of the last `kLimitLease` was sent, by sequence number.
  std::map<uint64_t, MonoTime> report_times_;
  std::map<ClientAccountId, LimitAmounts> limits_;
  /// Set while this VM is the leader.
  std::optional<LimitAllocator> allocator_;
  TermNumber term_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_LIMIT_EXCHANGE_H_
