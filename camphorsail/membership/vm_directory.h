#ifndef CAMPHORSAIL_MEMBERSHIP_VM_DIRECTORY_H_
#define CAMPHORSAIL_MEMBERSHIP_VM_DIRECTORY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "camphorsail/base/error.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/membership/vm_registration.h"

namespace camphorsail {

/// Maximum number of VMs in the directory: the target size of the fleet and
/// room for the inactive VMs that were replaced in three days. An inactive VM
/// is only removed to make room for a new one.
constexpr size_t kMaxVms = 2000;

/// The VMs of the fleet, each with its latest registration. Owned by
/// `ControlState`; not thread-safe.
class VmDirectory {
 public:
  /// Stores a registration in place of the VM's earlier one.
  /// @return `kProtocolError` when a higher incarnation of the VM is already
  /// registered, or when the state is not `kActive` and this incarnation was
  /// never registered; `kOverloaded` when the VM is new and the directory holds
  /// `kMaxVms` active VMs.
  Expected<void> Apply(const VmRegistration& registration);

  /// @return The latest registration of the VM; null when the VM is unknown.
  const VmRegistration* Find(const VmId& vm) const;
  /// @return The active VMs, in order of their ids.
  std::vector<VmRegistration> Active() const;
  const std::map<VmId, VmRegistration>& vms() const { return vms_; }

  /// @return The whole directory, encoded.
  std::string Snapshot() const;
  /// @param bytes An encoding by `Snapshot`.
  /// @return The directory; `kDataCorrupt` when `bytes` is not valid.
  static Expected<VmDirectory> Restore(std::string_view bytes);

  friend bool operator==(const VmDirectory&, const VmDirectory&) = default;

 private:
  /// Removes the VM that became inactive first.
  /// @return False when all VMs are active.
  bool MakeRoom();

  std::map<VmId, VmRegistration> vms_;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_MEMBERSHIP_VM_DIRECTORY_H_
