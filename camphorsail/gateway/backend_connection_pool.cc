#include "camphorsail/gateway/backend_connection_pool.h"

#include <algorithm>
#include <utility>

namespace camphorsail {

BackendConnectionPool::BackendConnectionPool(
    BackendConnectionPoolSettings settings,
    EventLoop* loop)
    : settings_(std::move(settings)), loop_(loop) {
  owner_.on_idle = [this](BackendConnection* connection) {
    OnIdle(connection);
  };
  owner_.on_closed = [this](BackendConnection* connection) {
    OnClosed(connection);
  };
}

BackendConnectionPool::~BackendConnectionPool() = default;

absl::Duration BackendConnectionPool::IdleLimit(
    const BackendConnection& connection) const {
  return std::min(settings_.max_idle,
                  connection.keep_alive() - settings_.keep_alive_margin);
}

BackendConnection* BackendConnectionPool::Take(const NetworkAddress& address) {
  Connections& idle = idle_[ToString(address)];
  while (!idle.empty()) {
    BackendConnection* connection = idle.back();
    idle.pop_back();
    if (loop_->now() - connection->idle_since() < IdleLimit(*connection)) {
      return connection;
    }
    connection->Cancel();
  }
  auto owned = std::make_unique<BackendConnection>(
      settings_.source_ip, address, settings_.connect_timeout, loop_, &owner_);
  BackendConnection* connection = owned.get();
  connections_.emplace(connection, Entry{std::move(owned), address});
  return connection;
}

void BackendConnectionPool::CloseIdleTo(const NetworkAddress& address) {
  const auto found = idle_.find(ToString(address));
  if (found == idle_.end()) {
    return;
  }
  const Connections idle = std::exchange(found->second, {});
  for (BackendConnection* connection : idle) {
    connection->Cancel();
  }
}

void BackendConnectionPool::CloseIdle() {
  std::vector<BackendConnection*> expired;
  for (const auto& [address, idle] : idle_) {
    for (BackendConnection* connection : idle) {
      if (loop_->now() - connection->idle_since() >= IdleLimit(*connection)) {
        expired.push_back(connection);
      }
    }
  }
  for (BackendConnection* connection : expired) {
    connection->Cancel();
  }
  absl::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void BackendConnectionPool::OnIdle(BackendConnection* connection) {
  idle_[ToString(connections_.at(connection).address)].push_back(connection);
}

void BackendConnectionPool::OnClosed(BackendConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const auto idle = idle_.find(ToString(found->second.address));
  if (idle != idle_.end()) {
    std::erase(idle->second, connection);
  }
  // Destroyed in a later iteration of the event loop, because this function may
  // have been called by the connection itself.
  std::shared_ptr<BackendConnection> released =
      std::move(found->second.connection);
  connections_.erase(found);
  loop_->Post([released] {});
}

}  // namespace camphorsail
