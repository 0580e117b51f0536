#ifndef CAMPHORSAIL_CONTROL_EFFECTIVE_SETTINGS_H_
#define CAMPHORSAIL_CONTROL_EFFECTIVE_SETTINGS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "camphorsail/base/ids.h"
#include "camphorsail/base/ref.h"
#include "camphorsail/settings/effective_class.h"

namespace camphorsail {

/// The settings that the request path reads. The control path publishes a new
/// object at each change. It is immutable once published, so readers hold a
/// `Ref` to it and need no lock.
struct EffectiveSettings : RefCounted<EffectiveSettings> {
  SettingsVersion settings_version;
  /// Key: lower-case hexadecimal SHA-256 of the API key.
  absl::flat_hash_map<std::string, ClientAccountId> account_by_key_sha256;
  absl::flat_hash_map<ClientAccountId, EffectiveAccount> accounts;
};

}  // namespace camphorsail

#endif  // CAMPHORSAIL_CONTROL_EFFECTIVE_SETTINGS_H_
