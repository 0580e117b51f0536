#include "camphorsail/orders/order_store.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

Expected<void> CheckArtifactCount(const EngineState& state) {
  if (state.artifacts.size() > kMaxEngineArtifacts) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("an engine may have at most ", kMaxEngineArtifacts,
                             " artifacts, not ", state.artifacts.size()));
  }
  return {};
}

tl::unexpected<Error> TooManyEngines() {
  return Fail(ErrorKind::kOverloaded,
              absl::StrCat("the limit of ", kMaxManagedEngines,
                           " managed engines is reached"));
}

}  // namespace

Expected<void> OrderStore::Apply(const DesiredEngine& desired) {
  if (desired.change_id != 0 &&
      std::find(changes_.begin(), changes_.end(), desired.change_id) !=
          changes_.end()) {
    return {};
  }
  if (desired.remove) {
    desired_.erase(desired.server);
    RecordChange(desired.change_id);
    return {};
  }
  if (auto result = CheckArtifactCount(desired.state); !result) {
    return result;
  }
  if (desired_.size() >= kMaxManagedEngines &&
      !desired_.contains(desired.server)) {
    return TooManyEngines();
  }
  DesiredEngine& stored = desired_[desired.server];
  stored = desired;
  auto& artifacts = stored.state.artifacts;
  std::sort(artifacts.begin(), artifacts.end());
  artifacts.erase(std::unique(artifacts.begin(), artifacts.end()),
                  artifacts.end());
  RecordChange(desired.change_id);
  return {};
}

void OrderStore::RecordChange(uint64_t change) {
  if (change == 0) {
    return;
  }
  changes_.push_back(change);
  if (changes_.size() > kMaxRememberedChanges) {
    changes_.pop_front();
  }
}

Expected<void> OrderStore::Apply(const OrderIntent& intent) {
  if (intent.token <= highest_token_) {
    return Fail(ErrorKind::kNotLeader,
                absl::StrCat("the order's token (", intent.token.term.value(),
                             ", ", intent.token.counter,
                             ") is not above the highest one so far (",
                             highest_token_.term.value(), ", ",
                             highest_token_.counter, ")"));
  }
  if (open_.contains(intent.server)) {
    return Fail(
        ErrorKind::kProtocolError,
        absl::StrCat("an earlier order may still run on backend server ",
                     intent.server.value()));
  }
  if (open_.size() >= kMaxManagedEngines) {
    return TooManyEngines();
  }
  highest_token_ = intent.token;
  open_.emplace(intent.server, intent);
  return {};
}

Expected<void> OrderStore::Apply(const OrderObservation& observation) {
  if (auto result = CheckArtifactCount(observation.state); !result) {
    return result;
  }
  const auto it = observed_.find(observation.server);
  if (it == observed_.end()) {
    if (observed_.size() >= kMaxManagedEngines) {
      return TooManyEngines();
    }
    observed_.emplace(observation.server, observation);
  } else if (observation.incarnation < it->second.incarnation ||
             (observation.incarnation == it->second.incarnation &&
              observation.token < it->second.token)) {
    return {};
  } else {
    it->second = observation;
  }
  const auto open = open_.find(observation.server);
  if (open != open_.end() &&
      (open->second.token <= observation.settled ||
       open->second.incarnation < observation.incarnation)) {
    open_.erase(open);
  }
  return {};
}

const OrderIntent* OrderStore::FindOpen(const BackendServerId& server) const {
  const auto it = open_.find(server);
  return it == open_.end() ? nullptr : &it->second;
}

const OrderObservation* OrderStore::FindObserved(
    const BackendServerId& server) const {
  const auto it = observed_.find(server);
  return it == observed_.end() ? nullptr : &it->second;
}

std::string OrderStore::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(5);
  packer.pack(desired_);
  packer.pack(observed_);
  packer.pack(open_);
  packer.pack(highest_token_);
  packer.pack(changes_);
  return std::string(buffer.data(), buffer.size());
}

Expected<OrderStore> OrderStore::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto parts = handle.get().as<std::vector<msgpack::object>>();
    if (parts.size() != 5) {
      return Fail(ErrorKind::kDataCorrupt,
                  absl::StrCat("snapshot of engine orders: expected 5 fields, "
                               "found ",
                               parts.size()));
    }
    OrderStore store;
    parts[0].convert(store.desired_);
    parts[1].convert(store.observed_);
    parts[2].convert(store.open_);
    parts[3].convert(store.highest_token_);
    parts[4].convert(store.changes_);
    return store;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("snapshot of engine orders: ", e.what()));
  }
}

}  // namespace camphorsail
