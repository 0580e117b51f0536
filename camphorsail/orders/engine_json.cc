#include "camphorsail/orders/engine_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/orders/order_store.h"

namespace camphorsail {
namespace {

using Json = nlohmann::json;

/// JSON names, indexed by the values of `EngineRole` and `OrderOperation`.
constexpr std::array<const char*, 3> kRoles = {"mixed", "prefill", "decode"};
constexpr std::array<const char*, 3> kOperations = {"load", "unload",
                                                    "set_role"};
constexpr size_t kMaxNameBytes = 256;

const char* RoleName(EngineRole role) {
  return kRoles.at(static_cast<size_t>(role));
}

/// @return The text of the member; empty when the member is absent and not
/// required; `kInvalidRequest` when it is absent but required, empty but
/// required, too long or not a string.
Expected<std::string> ReadStringMember(const Json& json,
                                       const char* name,
                                       bool required) {
  const auto member = json.find(name);
  if (member == json.end() && !required) {
    return std::string();
  }
  if (member == json.end() || !member->is_string() ||
      member->get_ref<const std::string&>().size() > kMaxNameBytes ||
      (required && member->get_ref<const std::string&>().empty())) {
    return Fail(
        ErrorKind::kInvalidRequest,
        absl::StrCat("'", name, "' must be a string of at most ", kMaxNameBytes,
                     " bytes and, where required, not empty"));
  }
  return member->get<std::string>();
}

}  // namespace

Json RenderEngineState(const EngineState& state) {
  Json artifacts = Json::array();
  for (const Artifact& artifact : state.artifacts) {
    artifacts.push_back({{"model", artifact.model.value()},
                         {"adapter", artifact.adapter},
                         {"version", artifact.version}});
  }
  return {{"artifacts", std::move(artifacts)}, {"role", RoleName(state.role)}};
}

Expected<EngineState> ParseEngineState(const Json& json) {
  EngineState state;
  const auto artifacts = json.find("artifacts");
  if (artifacts == json.end() || !artifacts->is_array() ||
      artifacts->size() > kMaxEngineArtifacts) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("'artifacts' must be an array of at most ",
                             kMaxEngineArtifacts, " objects"));
  }
  for (const Json& item : *artifacts) {
    if (!item.is_object()) {
      return Fail(ErrorKind::kInvalidRequest,
                  "each element of 'artifacts' must be an object");
    }
    Expected<std::string> model = ReadStringMember(item, "model", true);
    Expected<std::string> adapter = ReadStringMember(item, "adapter", false);
    Expected<std::string> version = ReadStringMember(item, "version", true);
    for (const Expected<std::string>* text : {&model, &adapter, &version}) {
      if (!*text) {
        return tl::unexpected<Error>(text->error());
      }
    }
    state.artifacts.push_back(
        {ModelId(*std::move(model)), *std::move(adapter), *std::move(version)});
  }
  std::sort(state.artifacts.begin(), state.artifacts.end());
  state.artifacts.erase(
      std::unique(state.artifacts.begin(), state.artifacts.end()),
      state.artifacts.end());
  Expected<std::string> role = ReadStringMember(json, "role", false);
  if (!role) {
    return tl::unexpected<Error>(role.error());
  }
  if (!role->empty()) {
    const auto* const found = std::find(kRoles.begin(), kRoles.end(), *role);
    if (found == kRoles.end()) {
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat("'role' must be mixed, prefill or decode, not '",
                               *role, "'"));
    }
    state.role = static_cast<EngineRole>(found - kRoles.begin());
  }
  return state;
}

Json RenderFencingToken(const FencingToken& token) {
  return {{"term", token.term.value()}, {"counter", token.counter}};
}

Json RenderOrder(const OrderIntent& order) {
  return {{"operation", kOperations.at(static_cast<size_t>(order.operation))},
          {"model", order.artifact.model.value()},
          {"adapter", order.artifact.adapter},
          {"version", order.artifact.version},
          {"role", RoleName(order.role)},
          {"fencing_token", RenderFencingToken(order.token)}};
}

Json RenderObserveRequest(const FencingToken& token) {
  return {{"operation", "observe"},
          {"fencing_token", RenderFencingToken(token)}};
}

}  // namespace camphorsail
