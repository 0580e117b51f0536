#ifndef CAMPHORSAIL_ORDERS_ENGINE_JSON_H_
#define CAMPHORSAIL_ORDERS_ENGINE_JSON_H_

#include "camphorsail/base/error.h"
#include "camphorsail/orders/order_types.h"
#include "nlohmann/json_fwd.hpp"

namespace camphorsail {

/// @return `{"artifacts": [{"model", "adapter", "version"}], "role"}`.
nlohmann::json RenderEngineState(const EngineState& state);

/// @param json An object as `RenderEngineState` returns it. Other members are
/// ignored, and a missing `role` means `mixed`.
/// @return The state, its artifacts sorted and without duplicates;
/// `kInvalidRequest` with the name of the wrong member.
Expected<EngineState> ParseEngineState(const nlohmann::json& json);

/// @return `{"term", "counter"}`.
nlohmann::json RenderFencingToken(const FencingToken& token);

/// @return The body of `POST /orders`: `operation`, `model`, `adapter`,
/// `version`, `role` and `fencing_token`.
nlohmann::json RenderOrder(const OrderIntent& order);

/// @return The body of `POST /orders` that asks an engine for its state.
nlohmann::json RenderObserveRequest(const FencingToken& token);

}  // namespace camphorsail

#endif  // CAMPHORSAIL_ORDERS_ENGINE_JSON_H_
