#include "camphorsail/settings/settings_key.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

using Type = SettingsValueType;
using Key = SettingsKey;

// The limits on requests, tokens and concurrency apply to a whole account, so
// they cannot be set for a class. A limit at the fleet level is the default of
// all accounts. The upper bounds are far above the target size of
// docs/CAPACITY.md; they only reject mistakes such as a value in the wrong
// unit.
constexpr std::array<SettingsKeyInfo, 14> kKeys = {{
    {Key::kTier, "tier", Type::kInteger, 0, 3, "", true, true, true, "3"},
    {Key::kWeight, "weight", Type::kNumber, 0.001, 1000, "", true, true, true,
     "1.0"},
    {Key::kTtftTargetMs, "ttft_target_ms", Type::kInteger, 1, 3600000, "ms",
     true, true, true, "1000"},
    {Key::kTotalTargetMs, "total_target_ms", Type::kInteger, 1, 86400000, "ms",
     true, true, true, "60000"},
    {Key::kMaxRequestsPerS, "max_requests_per_s", Type::kNumber, 0, 1e6,
     "requests/s, 0 for unlimited", true, true, false, "0.0"},
    {Key::kMaxTokensPerS, "max_tokens_per_s", Type::kNumber, 0, 1e9,
     "tokens/s, 0 for unlimited", true, true, false, "0.0"},
    {Key::kMaxConcurrency, "max_concurrency", Type::kInteger, 0, 1000000,
     "requests, 0 for unlimited", true, true, false, "0"},
    {Key::kMaxOutputTokens, "max_output_tokens", Type::kInteger, 1, 1000000,
     "tokens", true, true, true, "4096"},
    {Key::kRetryBudgetRatio, "retry_budget_ratio", Type::kNumber, 0, 1,
     "retries per first attempt", true, true, true, "0.1"},
    {Key::kDefaultClass, "default_class", Type::kName, 0, 0, "", true, true,
     false, "\"\""},
    {Key::kApiKeySha256, "api_key_sha256", Type::kDigestList, 0, 16, "digests",
     false, true, false, "[]"},
    {Key::kModel, "model", Type::kName, 0, 0, "", true, true, true, "\"\""},
    {Key::kGuaranteedShare, "guaranteed_share", Type::kNumber, 0, 1,
     "fraction of capacity", true, true, true, "0.01"},
    {Key::kIdempotent, "idempotent", Type::kBoolean, 0, 0, "", true, true, true,
     "true"},
}};

bool IsDigest(const nlohmann::json& json) {
  if (!json.is_string()) {
    return false;
  }
  const auto& text = json.get_ref<const std::string&>();
  return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isdigit(static_cast<unsigned char>(c)) ||
                  (c >= 'a' && c <= 'f');
         });
}

tl::unexpected<Error> InvalidValue(const SettingsKeyInfo& info,
                                   std::string_view expected) {
  std::string unit =
      info.unit.empty() ? "" : absl::StrCat(" (", std::string(info.unit), ")");
  return Fail(ErrorKind::kSettingsInvalid,
              absl::StrCat(std::string(info.name), " must be ",
                           std::string(expected), unit));
}

std::string RangeText(const SettingsKeyInfo& info) {
  return absl::StrCat(" from ", info.min, " to ", info.max);
}

bool InRange(const SettingsKeyInfo& info, double value) {
  return std::isfinite(value) && value >= info.min && value <= info.max;
}

Expected<SettingsValue> ParseDigests(const SettingsKeyInfo& info,
                                     const nlohmann::json& json) {
  if (!json.is_array() || !InRange(info, static_cast<double>(json.size())) ||
      !std::all_of(json.begin(), json.end(), IsDigest)) {
    return InvalidValue(
        info, "a list of up to 16 lower-case hexadecimal SHA-256 digests");
  }
  auto digests = json.get<std::vector<std::string>>();
  std::sort(digests.begin(), digests.end());
  digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
  return SettingsValue(std::move(digests));
}

}  // namespace

std::span<const SettingsKeyInfo> GetSettingsKeys() {
  return kKeys;
}

const SettingsKeyInfo& GetSettingsKeyInfo(SettingsKey key) {
  return kKeys[static_cast<size_t>(key)];
}

const SettingsKeyInfo* FindSettingsKey(std::string_view name) {
  for (const SettingsKeyInfo& info : kKeys) {
    if (info.name == name) {
      return &info;
    }
  }
  return nullptr;
}

bool IsValidSettingsName(std::string_view name) {
  if (name.empty() || name.size() > kMaxSettingsNameBytes ||
      !absl::ascii_isalnum(static_cast<unsigned char>(name[0]))) {
    return false;
  }
  return std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
           c == '_' || c == '-' || c == ':';
  });
}

Expected<SettingsValue> ParseSettingsValue(const SettingsKeyInfo& info,
                                           const nlohmann::json& json) {
  switch (info.type) {
    case Type::kInteger:
      if (!json.is_number_integer() || !InRange(info, json.get<double>())) {
        return InvalidValue(info, absl::StrCat("an integer", RangeText(info)));
      }
      return SettingsValue(json.get<int64_t>());
    case Type::kNumber:
      if (!json.is_number() || !InRange(info, json.get<double>())) {
        return InvalidValue(info, absl::StrCat("a number", RangeText(info)));
      }
      return SettingsValue(json.get<double>());
    case Type::kBoolean:
      if (!json.is_boolean()) {
        return InvalidValue(info, "true or false");
      }
      return SettingsValue(json.get<bool>());
    case Type::kName:
      if (!json.is_string() ||
          !IsValidSettingsName(json.get_ref<const std::string&>())) {
        return InvalidValue(
            info,
            "a name of 1 to 64 letters, digits or the characters . _ - :");
      }
      return SettingsValue(json.get<std::string>());
    case Type::kDigestList:
      return ParseDigests(info, json);
  }
  return Fail(ErrorKind::kInternal, "unknown settings type");
}

nlohmann::json SettingsValueToJson(const SettingsValue& value) {
  return std::visit([](const auto& v) { return nlohmann::json(v); }, value);
}

}  // namespace camphorsail
