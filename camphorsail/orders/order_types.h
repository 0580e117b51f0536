#ifndef CAMPHORSAIL_ORDERS_ORDER_TYPES_H_
#define CAMPHORSAIL_ORDERS_ORDER_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "camphorsail/base/ids.h"
#include "camphorsail/base/msgpack_strong_id.h"

namespace camphorsail {

/// Every call to an engine carries a fencing token. Tokens increase with each
/// call and with each new leader. An engine that checks tokens rejects a call
/// whose token is smaller than one that it has seen, and thereby rejects late
/// calls of earlier leaders. Whether it also rejects an equal token is left
/// open, because no two calls have the same token.
struct FencingToken {
  TermNumber term;
  /// Number of the token within its term.
  uint64_t counter = 0;

  friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
  MSGPACK_DEFINE(term, counter)
};

/// One version of a model or of an adapter, which an engine can load.
struct Artifact {
  ModelId model;
  /// Empty for the base model.
  std::string adapter;
  std::string version;

  friend auto operator<=>(const Artifact&, const Artifact&) = default;
  MSGPACK_DEFINE(model, adapter, version)
};

/// The phases of inference that an engine serves.
enum class EngineRole : uint8_t { kMixed, kPrefill, kDecode };

/// The loaded artifacts and the role of an engine, either as desired or as
/// observed.
struct EngineState {
  /// Sorted and unique.
  std::vector<Artifact> artifacts;
  EngineRole role = EngineRole::kMixed;

  friend bool operator==(const EngineState&, const EngineState&) = default;
  MSGPACK_DEFINE(artifacts, role)
};

enum class OrderOperation : uint8_t { kLoad, kUnload, kSetRole };

/// Command that sets the desired state of one engine or ends its management.
struct DesiredEngine {
  BackendServerId server;
  EngineState state;
  /// Priority of loading: engines with larger values load first, because the
  /// number of simultaneous loads from the store of model weights is limited.
  int64_t load_priority = 0;
  /// True to end the management of the engine; `state` is then ignored.
  bool remove = false;
  /// Random id of the change; zero when it has none. The command may enter the
  /// log more than once; by this id a late copy is recognised and does not
  /// revert a newer change.
  uint64_t change_id = 0;

  MSGPACK_DEFINE(server, state, load_priority, remove, change_id)
};

/// An order to an engine, and the command that records it. The command is
/// committed before the leader sends the order; until then the order is only an
/// intent.
struct OrderIntent {
  FencingToken token;
  BackendServerId server;
  /// Incarnation of the engine that the order is meant for.
  Incarnation incarnation;
  OrderOperation operation = OrderOperation::kLoad;
  /// The artifact to load or unload.
  Artifact artifact{};
  /// The role that `kSetRole` sets.
  EngineRole role = EngineRole::kMixed;

  friend bool operator==(const OrderIntent&, const OrderIntent&) = default;
  MSGPACK_DEFINE(token, server, incarnation, operation, artifact, role)
};

/// Command that records the observed state of an engine, from an
/// `EngineObservation`, and which of its orders can no longer run.
struct OrderObservation {
  BackendServerId server;
  Incarnation incarnation;
  EngineState state;
  /// Orders with this or a smaller token can no longer run on the engine,
  /// whether they succeeded or not. Zero when the observation does not show
  /// this for any order.
  FencingToken settled;
  /// Token of the request that the engine answered. Observations are ordered by
  /// it, so that a repeated or late one does not replace a newer one: a stale
  /// state would lead to a second order.
  FencingToken token{};

  MSGPACK_DEFINE(server, incarnation, state, settled, token)
};

}  // namespace camphorsail

MSGPACK_ADD_ENUM(camphorsail::EngineRole)
MSGPACK_ADD_ENUM(camphorsail::OrderOperation)

#endif  // CAMPHORSAIL_ORDERS_ORDER_TYPES_H_
