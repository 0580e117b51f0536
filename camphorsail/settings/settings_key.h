#ifndef CAMPHORSAIL_SETTINGS_SETTINGS_KEY_H_
#define CAMPHORSAIL_SETTINGS_SETTINGS_KEY_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphorsail/base/error.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// The keys of the settings tree. Rows of `GetSettingsKeys` are in this order.
enum class SettingsKey : uint8_t {
  kTier,
  kWeight,
  kTtftTargetMs,
  kTotalTargetMs,
  kMaxRequestsPerS,
  kMaxTokensPerS,
  kMaxConcurrency,
  kMaxOutputTokens,
  kRetryBudgetRatio,
  kDefaultClass,
  kApiKeySha256,
  kModel,
  kGuaranteedShare,
  kIdempotent,
};

enum class SettingsValueType : uint8_t {
  kInteger,
  kNumber,
  kBoolean,
  /// A class or model name.
  kName,
  /// A list of lower-case hexadecimal SHA-256 digests.
  kDigestList,
};

using SettingsValue =
    std::variant<bool, int64_t, double, std::string, std::vector<std::string>>;

/// Type, range and allowed levels of one key.
struct SettingsKeyInfo {
  SettingsKey key;
  /// The key's name as operators write it.
  std::string_view name;
  SettingsValueType type;
  /// Inclusive range of the value, or of the length for lists.
  double min;
  double max;
  /// Unit shown in error messages; empty when the value has none.
  std::string_view unit;
  /// Levels at which the key may be set.
  bool at_fleet;
  bool at_account;
  bool at_class;
  /// The value in force when no level sets it, as JSON text.
  std::string_view default_json;
};

/// Longest account, class or model name, in bytes.
constexpr size_t kMaxSettingsNameBytes = 64;

/// @return The table of all keys.
std::span<const SettingsKeyInfo> GetSettingsKeys();
const SettingsKeyInfo& GetSettingsKeyInfo(SettingsKey key);

/// @param name A key as operators write it.
/// @return The key's row of the table; null when there is no such key.
const SettingsKeyInfo* FindSettingsKey(std::string_view name);

/// @param name An account, class or model name.
/// @return True for 1 to 64 characters of `A-Z a-z 0-9 . _ - :`, the first
/// being a letter or a digit.
bool IsValidSettingsName(std::string_view name);

/// @param info The key that the value is for.
/// @param json The value.
/// @return The typed value; `kSettingsInvalid` naming the key and its allowed
/// type and range when the value has another type or is out of range.
Expected<SettingsValue> ParseSettingsValue(const SettingsKeyInfo& info,
                                           const nlohmann::json& json);

/// @return The value as JSON.
nlohmann::json SettingsValueToJson(const SettingsValue& value);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_SETTINGS_SETTINGS_KEY_H_
