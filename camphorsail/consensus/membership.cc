#include "camphorsail/consensus/membership.h"

#include <algorithm>

#include "camphorsail/base/msgpack_bytes.h"

namespace camphorsail {

const Member* Membership::Find(ReplicaId replica) const {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const Member& m) { return m.replica == replica; });
  return found == members.end() ? nullptr : &*found;
}

bool Membership::IsVoter(ReplicaId replica) const {
  const Member* member = Find(replica);
  return member != nullptr && member->kind == MemberKind::kVoter;
}

size_t Membership::VoterCount() const {
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(),
      [](const Member& m) { return m.kind == MemberKind::kVoter; }));
}

size_t Membership::CommitQuorum() const {
  return VoterCount() / 2 + 1;
}

size_t Membership::LeaseQuorum() const {
  return VoterCount() - CommitQuorum() + 1;
}

std::string Membership::Encode() const {
  return PackBytes(*this);
}

Expected<Membership> Membership::Decode(std::string_view bytes) {
  Expected<Membership> result = UnpackBytes<Membership>(bytes);
  if (!result.has_value()) {
    return result;
  }
  for (const Member& member : result->members) {
    if (member.kind > MemberKind::kVoter) {
      return Fail(ErrorKind::kProtocolError,
                  "unknown member kind, expected learner or voter");
    }
  }
  return result;
}

}  // namespace camphorsail
