#include "camphorsail/membership/server_announcement.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "absl/strings/str_cat.h"
#include "camphorsail/settings/settings_key.h"
#include "nlohmann/json.hpp"

namespace camphorsail {
namespace {

/// Reads the members of a JSON object and checks them. Keeps only the first
/// error; after an error, all reads return an empty value.
class AnnouncementReader {
 public:
  explicit AnnouncementReader(const nlohmann::json& json) : json_(json) {
    if (!json.is_object()) {
      error_ = "the announcement is not a JSON object";
    }
  }

  /// @return The first error; nothing when all members read so far are valid.
  const std::optional<std::string>& error() const { return error_; }

  std::string Name(const char* member) {
    const nlohmann::json* value = Find(member, true);
    if (value == nullptr || !value->is_string() ||
        !IsValidSettingsName(value->get_ref<const std::string&>())) {
      ReportError(member, "a name of 1 to 64 letters, digits or . _ - :");
      return {};
    }
    return value->get<std::string>();
  }

  uint64_t Integer(const char* member, bool required, uint64_t max) {
    const nlohmann::json* value = Find(member, required);
    if (value == nullptr) {
      return 0;
    }
    const bool negative = value->is_number_integer() &&
                          !value->is_number_unsigned() &&
                          value->get<int64_t>() < 0;
    if (!value->is_number_integer() || negative ||
        value->get<uint64_t>() > max) {
      ReportError(member, absl::StrCat("an integer from 0 to ", max));
      return 0;
    }
    return value->get<uint64_t>();
  }

  double Fraction(const char* member) {
    const nlohmann::json* value = Find(member, false);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number() ||
        !(value->get<double>() >= 0 && value->get<double>() <= 1)) {
      ReportError(member, "a number from 0 to 1");
      return 0;
    }
    return value->get<double>();
  }

  bool Boolean(const char* member) {
    const nlohmann::json* value = Find(member, false);
    if (value != nullptr && !value->is_boolean()) {
      ReportError(member, "true or false");
      return false;
    }
    return value != nullptr && value->get<bool>();
  }

  std::vector<uint64_t> Blocks(const char* member) {
    const nlohmann::json* value = Find(member, false);
    if (value == nullptr) {
      return {};
    }
    if (!value->is_array() || value->size() > kMaxCacheEvents ||
        !std::all_of(value->begin(), value->end(), [](const auto& block) {
          return block.is_number_unsigned();
        })) {
      ReportError(member, absl::StrCat("a list of up to ", kMaxCacheEvents,
                                       " unsigned integers"));
      return {};
    }
    return value->get<std::vector<uint64_t>>();
  }

  std::vector<ModelId> Targets(const char* member) {
    std::vector<ModelId> targets;
    const nlohmann::json* value = Find(member, true);
    bool valid = value != nullptr && value->is_array() && !value->empty() &&
                 value->size() <= kMaxServerTargets;
    for (size_t i = 0; valid && i < value->size(); ++i) {
      const nlohmann::json& name = (*value)[i];
      valid = name.is_string() &&
              IsValidSettingsName(name.get_ref<const std::string&>());
      if (valid) {
        targets.emplace_back(name.get<std::string>());
      }
    }
    if (!valid) {
      ReportError(member,
                  absl::StrCat("a list of 1 to ", kMaxServerTargets, " names"));
      return {};
    }
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    return targets;
  }

  /// @return The member; null when it is missing or after an error. A missing
  /// member is an error when it is required.
  const nlohmann::json* Find(const char* member, bool required) {
    if (error_) {
      return nullptr;
    }
    const auto it = json_.find(member);
    if (it != json_.end()) {
      return &*it;
    }
    if (required) {
      error_ = absl::StrCat(member, " is missing");
    }
    return nullptr;
  }

  /// Notes that a member has an invalid value, unless there is an earlier
  /// error.
  /// @param expected Description of valid values.
  void ReportError(const char* member, std::string_view expected) {
    if (!error_) {
      error_ = absl::StrCat(member, " must be ", std::string(expected));
    }
  }

 private:
  const nlohmann::json& json_;
  std::optional<std::string> error_;
};

}  // namespace

Expected<ServerAnnouncement> ParseServerAnnouncement(
    const nlohmann::json& json) {
  AnnouncementReader reader(json);
  ServerAnnouncement out;
  out.server = BackendServerId(reader.Name("id"));
  out.version.incarnation =
      Incarnation(reader.Integer("incarnation", true, UINT64_MAX));
  out.version.sequence =
      AnnouncementSequence(reader.Integer("sequence", true, UINT64_MAX));
  out.leaving = reader.Boolean("leaving");
  ServerDescription& description = out.description;
  description.address = reader.Name("address");
  description.failure_domain = FailureDomainId(reader.Name("failure_domain"));
  if (reader.Find("region", false) != nullptr) {
    description.region = reader.Name("region");
  }
  const std::string kind = reader.Name("kind");
  if (kind != "model" && kind != "service") {
    reader.ReportError("kind", "model or service");
  }
  description.kind =
      kind == "service" ? ServerKind::kService : ServerKind::kModelEngine;
  description.targets = reader.Targets("targets");
  description.capacity =
      static_cast<int>(reader.Integer("capacity", true, kMaxServerCapacity));
  if (description.capacity == 0) {
    reader.ReportError("capacity", "at least 1");
  }
  description.checks_fencing_tokens = reader.Boolean("checks_fencing_tokens");
  out.load.running =
      static_cast<int>(reader.Integer("running", false, kMaxServerCapacity));
  out.load.waiting =
      static_cast<int>(reader.Integer("waiting", false, kMaxServerCapacity));
  out.load.kv_permille =
      static_cast<int>(std::lround(reader.Fraction("kv_usage") * 1000));
  out.load.cached_blocks = reader.Blocks("cached_blocks");
  out.load.evicted_blocks = reader.Blocks("evicted_blocks");
  out.load.cache_gap = reader.Boolean("cache_gap");
  out.age_ms =
      static_cast<uint32_t>(reader.Integer("age_ms", false, UINT32_MAX));
  if (reader.error()) {
    return Fail(ErrorKind::kInvalidRequest, *reader.error());
  }
  return out;
}

nlohmann::json RenderServerAnnouncement(
    const ServerAnnouncement& announcement) {
  const ServerDescription& description = announcement.description;
  nlohmann::json targets = nlohmann::json::array();
  for (const ModelId& target : description.targets) {
    targets.push_back(target.value());
  }
  nlohmann::json json = {
      {"id", announcement.server.value()},
      {"incarnation", announcement.version.incarnation.value()},
      {"sequence", announcement.version.sequence.value()},
      {"leaving", announcement.leaving},
      {"address", description.address},
      {"failure_domain", description.failure_domain.value()},
      {"kind", description.kind == ServerKind::kService ? "service" : "model"},
      {"targets", std::move(targets)},
      {"capacity", description.capacity},
      {"checks_fencing_tokens", description.checks_fencing_tokens},
      {"running", announcement.load.running},
      {"waiting", announcement.load.waiting},
      {"kv_usage", announcement.load.kv_permille / 1000.0},
      {"cached_blocks", announcement.load.cached_blocks},
      {"evicted_blocks", announcement.load.evicted_blocks},
      {"cache_gap", announcement.load.cache_gap},
      {"age_ms", announcement.age_ms}};
  if (!description.region.empty()) {
    json["region"] = description.region;
  }
  return json;
}

}  // namespace camphorsail
