#include "camphorsail/consensus/replica_settings.h"

#include <set>
#include <string>

namespace camphorsail {
namespace {

tl::unexpected<Error> Invalid(const char* field, const char* allowed) {
  return Fail(ErrorKind::kSettingsInvalid,
              std::string(field) + " must be " + allowed);
}

}  // namespace

Expected<void> ReplicaSettings::Validate() const {
  if (vm.value().empty()) {
    return Invalid("vm", "set");
  }
  if (voter_vms.empty()) {
    return Invalid("voter_vms", "non-empty");
  }
  if (std::set<VmId>(voter_vms.begin(), voter_vms.end()).size() !=
      voter_vms.size()) {
    return Invalid("voter_vms", "without duplicates");
  }
  if (heartbeat_interval <= absl::ZeroDuration()) {
    return Invalid("heartbeat_interval", "positive");
  }
  if (election_timeout < 3 * heartbeat_interval) {
    return Invalid("election_timeout", "at least 3 heartbeat intervals");
  }
  if (lease_clock_margin < 0 || lease_clock_margin > 0.5) {
    return Invalid("lease_clock_margin", "in [0, 0.5]");
  }
  if (lease_renewal_interval <= absl::ZeroDuration() ||
      HolderLeaseLength() < 2 * lease_renewal_interval) {
    return Invalid("lease_renewal_interval",
                   "positive and at most half the holder's lease length");
  }
  if (max_tail_entries == 0 || max_tail_bytes == 0 || max_append_bytes == 0 ||
      max_inflight_appends == 0 || snapshot_chunk_bytes == 0 ||
      snapshot_after_entries == 0 || snapshot_after_bytes == 0 ||
      max_uncommitted_entries == 0) {
    return Invalid(
        "each of max_tail_entries, max_tail_bytes, max_append_bytes, "
        "max_inflight_appends, snapshot_chunk_bytes, snapshot_after_entries, "
        "snapshot_after_bytes and max_uncommitted_entries",
        "positive");
  }
  return {};
}

}  // namespace camphorsail
