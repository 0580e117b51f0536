#ifndef CAMPHORSAIL_ADMIN_DUTY_JSON_H_
#define CAMPHORSAIL_ADMIN_DUTY_JSON_H_

#include "camphorsail/base/error.h"
#include "camphorsail/duties/duty_commands.h"
#include "camphorsail/duties/duty_store.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// @return The duties for operators, see `docs/admin-api.md`.
nlohmann::json DutiesToJson(const DutyStore& store);

/// @param body Body of an operator's request.
/// @return The command; `kInvalidRequest` when a member is missing or has
/// another type.
Expected<OrderHold> ParseOrderHold(const nlohmann::json& body);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ADMIN_DUTY_JSON_H_
