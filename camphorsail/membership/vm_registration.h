#ifndef CAMPHORSAIL_MEMBERSHIP_VM_REGISTRATION_H_
#define CAMPHORSAIL_MEMBERSHIP_VM_REGISTRATION_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// State of a VM in the directory.
enum class VmState : uint8_t {
  /// The VM may admit requests. It may do so only after this state has been
  /// committed for this process or for an earlier process of the VM.
  kActive,
  /// The VM stopped gracefully. Before that, it marked every minute up to
  /// `VmRegistration::minute`.
  kLeft,
  /// The leader declared the VM lost after the VM's admission lease had ended.
  kLost,
};

/// Registration of one daemon process. It is replicated, so that every minute
/// in which the process may have admitted requests is known.
struct VmRegistration {
  VmId vm;
  /// Identifies one start of the process; higher after each restart.
  Incarnation incarnation;
  VmState state = VmState::kActive;
  /// Minute in which the VM entered `state`.
  MinuteIndex minute;
  FailureDomainId failure_domain{};
  std::string region{};
  /// Address on which the daemon receives messages from other daemons.
  std::string peer_address{};
  /// Roles of the VM: whether it admits requests (such a VM is called an entry
  /// VM), holds a control replica, and relays server announcements to other
  /// daemons.
  bool entry = true;
  bool replica = false;
  bool relay = false;

  friend bool operator==(const VmRegistration&,
                         const VmRegistration&) = default;
  MSGPACK_DEFINE(vm,
                 incarnation,
                 state,
                 minute,
                 failure_domain,
                 region,
                 peer_address,
                 entry,
                 replica,
                 relay)
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::VmState)

#endif  // CAMPHORSAIL_MEMBERSHIP_VM_REGISTRATION_H_
