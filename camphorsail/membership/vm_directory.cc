#include "camphorsail/membership/vm_directory.h"

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_bytes.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {

Expected<void> VmDirectory::Apply(const VmRegistration& registration) {
  const auto it = vms_.find(registration.vm);
  if (it == vms_.end()) {
    if (registration.state != VmState::kActive) {
      return Fail(
          ErrorKind::kProtocolError,
          absl::StrCat("VM ", registration.vm.value(), " is not registered"));
    }
    if (vms_.size() >= kMaxVms && !MakeRoom()) {
      return Fail(ErrorKind::kOverloaded,
                  absl::StrCat("VM ", registration.vm.value(),
                               " cannot be registered: the limit of ", kMaxVms,
                               " active VMs is reached"));
    }
    vms_.emplace(registration.vm, registration);
    return {};
  }
  if (registration.incarnation < it->second.incarnation ||
      (registration.incarnation > it->second.incarnation &&
       registration.state != VmState::kActive)) {
    return Fail(ErrorKind::kProtocolError,
                absl::StrCat("VM ", registration.vm.value(),
                             " is registered with incarnation ",
                             it->second.incarnation.value(), ", not ",
                             registration.incarnation.value()));
  }
  it->second = registration;
  return {};
}

bool VmDirectory::MakeRoom() {
  auto oldest = vms_.end();
  for (auto it = vms_.begin(); it != vms_.end(); ++it) {
    if (it->second.state != VmState::kActive &&
        (oldest == vms_.end() || it->second.minute < oldest->second.minute)) {
      oldest = it;
    }
  }
  if (oldest == vms_.end()) {
    return false;
  }
  vms_.erase(oldest);
  return true;
}

const VmRegistration* VmDirectory::Find(const VmId& vm) const {
  const auto it = vms_.find(vm);
  return it == vms_.end() ? nullptr : &it->second;
}

std::vector<VmRegistration> VmDirectory::Active() const {
  std::vector<VmRegistration> out;
  for (const auto& [vm, registration] : vms_) {
    if (registration.state == VmState::kActive) {
      out.push_back(registration);
    }
  }
  return out;
}

std::string VmDirectory::Snapshot() const {
  return PackBytes(vms_);
}

Expected<VmDirectory> VmDirectory::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    VmDirectory directory;
    directory.vms_ = handle.get().as<std::map<VmId, VmRegistration>>();
    return directory;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("the VM directory snapshot cannot be decoded: ",
                             e.what()));
  }
}

}  // namespace camphorsail
