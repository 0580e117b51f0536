#ifndef CAMPHORSAIL_BASE_IDS_H_
#define CAMPHORSAIL_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "camphorsail/base/strong_id.h"

namespace camphorsail {

using ClientAccountId = StrongId<struct ClientAccountIdTag, std::string>;
using ClassId = StrongId<struct ClassIdTag, std::string>;
using BackendServerId = StrongId<struct BackendServerIdTag, std::string>;
using VmId = StrongId<struct VmIdTag, std::string>;
using FailureDomainId = StrongId<struct FailureDomainIdTag, std::string>;
/// Name of a model or of a plain service, as callers write it.
using ModelId = StrongId<struct ModelIdTag, std::string>;
/// Identifies a change of the settings. Chosen by the operator's client; a
/// change that is sent again has the same id.
using ChangeId = StrongId<struct ChangeIdTag, std::string>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// Unique in the fleet: the high bits come from the process's start time and
/// random bits, the low bits from a counter.
using RequestId = StrongId<struct RequestIdTag, uint64_t>;
using AttemptNumber = StrongId<struct AttemptNumberTag, uint32_t>;
using ReplicaId = StrongId<struct ReplicaIdTag, uint64_t>;
using TermNumber = StrongId<struct TermNumberTag, uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;
using SettingsVersion = StrongId<struct SettingsVersionTag, uint64_t>;
/// Identifies one start of a backend server or daemon; larger after each
/// restart.
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/// Orders the announcements within one incarnation.
using AnnouncementSequence = StrongId<struct AnnouncementSequenceTag, uint64_t>;
/// Minutes since the Unix epoch, UTC.
using MinuteIndex = StrongId<struct MinuteIndexTag, int64_t>;

}  // namespace camphorsail

#endif  // CAMPHORSAIL_BASE_IDS_H_
