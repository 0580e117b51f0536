// The functions of Scheduler that track backend servers and peer VMs.
#include <algorithm>
#include <utility>

#include "camphorsail/base/fnv_hash.h"
#include "camphorsail/scheduling/scheduler.h"

namespace camphorsail {
namespace {

// Digests are repeated at this interval so that peers can detect a VM that has
// stopped sending.
constexpr absl::Duration kDigestInterval = absl::Milliseconds(500);

// Decides which VMs get the slots that remain when a server's capacity is not
// divisible by the number of VMs, so that these slots are spread evenly.
uint64_t ServerIdHash(const BackendServerId& id) {
  return Fnv1a64(id.value());
}

template <typename Map, typename Key>
int InternIndex(Map* map, const Key& key) {
  return map->try_emplace(key, static_cast<int>(map->size())).first->second;
}

bool SameTierStates(const LoadDigest& a, const LoadDigest& b) {
  if (a.pools.size() != b.pools.size()) {
    return false;
  }
  for (size_t i = 0; i < a.pools.size(); ++i) {
    for (int t = 0; t < kTierCount; ++t) {
      if (a.pools[i].tiers[t].open != b.pools[i].tiers[t].open ||
          a.pools[i].tiers[t].overloaded != b.pools[i].tiers[t].overloaded) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace

const Scheduler::ClassInfo& Scheduler::Intern(
    const RequestDescriptor& request) {
  const auto [it, inserted] =
      class_infos_.try_emplace({request.account, request.class_id});
  if (inserted) {
    it->second.account = InternIndex(&accounts_, request.account);
    it->second.class_index = InternIndex(&classes_, request.class_id);
    it->second.account_class = static_cast<int>(class_infos_.size()) - 1;
    retry_budgets_.resize(classes_.size());
  }
  return it->second;
}

int Scheduler::InternTarget(ServerKind kind, const ModelId& target) {
  const int index = InternIndex(&target_indexes_,
                                std::pair<ServerKind, ModelId>(kind, target));
  if (static_cast<size_t>(index) >= target_pools_.size()) {
    target_pools_.resize(index + 1, nullptr);
  }
  return index;
}

void Scheduler::OnServerView(const ServerView& view,
                             MonoTime now,
                             Actions* actions) {
  std::unique_ptr<ServerState>& slot = servers_[view.server];
  if (slot != nullptr && slot->incarnation > view.incarnation) {
    return;
  }
  if (view.targets.empty()) {
    if (slot != nullptr) {
      Retire(std::exchange(slot, nullptr), now);
    }
    servers_.erase(view.server);
    return;
  }
  std::vector<int> targets;
  Pool* pool = nullptr;
  for (const ModelId& target : view.targets) {
    targets.push_back(InternTarget(view.kind, target));
    Pool* known = target_pools_[targets.back()];
    if (known == nullptr || known == pool) {
      continue;
    }
    if (pool == nullptr) {
      pool = known;
    } else {
      MergePools(pool, known, now);
    }
  }
  if (pool == nullptr) {
    pools_.push_back(std::make_unique<Pool>(
        view.kind, view.targets.front(),
        view.kind == ServerKind::kService ? settings_.initial_service_seconds
                                          : settings_.initial_seconds_per_token,
        settings_.initial_seconds_per_prompt_token));
    pool = pools_.back().get();
  }
  for (const int target : targets) {
    target_pools_[target] = pool;
  }
  if (slot != nullptr && slot->incarnation < view.incarnation) {
    Retire(std::exchange(slot, nullptr), now);
  }
  if (slot == nullptr) {
    slot = std::make_unique<ServerState>(view, settings_.health);
    slot->targets = std::move(targets);
    slot->slots = SlotsOn(*slot);
    MoveServer(slot.get(), pool, now);
  } else {
    slot->ApplyView(view);
    slot->targets = std::move(targets);
    slot->slots = SlotsOn(*slot);
    if (slot->pool == pool) {
      UpdatePoolOf(slot.get(), now);
    } else {
      MoveServer(slot.get(), pool, now);
    }
  }
  if (view.cache_events_gap) {
    pool->prefixes.OnCacheEventsLost(slot.get(), now);
  }
  pool->prefixes.Evict(view.evicted_blocks, slot.get());
  pool->prefixes.Record(view.cached_blocks, slot.get(), now);
  DispatchWaiting(pool, now, actions);
}

void Scheduler::OnServerRemoved(BackendServerId server,
                                MonoTime now,
                                Actions* actions) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) {
    return;
  }
  Retire(std::move(it->second), now);
  servers_.erase(it);
  SendDigestIfDue(now, actions);
}

void Scheduler::MoveServer(ServerState* server, Pool* to, MonoTime now) {
  if (server->pool != nullptr) {
    server->pool->servers.Remove(server);
    server->pool->prefixes.RemoveServer(server);
  }
  server->pool = to;
  if (to != nullptr) {
    to->servers.Add(server, now);
  }
}

void Scheduler::UpdatePoolOf(ServerState* server, MonoTime now) {
  if (server->pool != nullptr) {
    server->pool->servers.Update(server, now);
  }
}

void Scheduler::Retire(std::unique_ptr<ServerState> server, MonoTime now) {
  MoveServer(server.get(), nullptr, now);
  server->removed = true;
  retired_.push_back(std::move(server));
}

void Scheduler::MergePools(Pool* into, Pool* from, MonoTime now) {
  // A server that answers targets of both pools merges them permanently. This
  // happens only when an operator changes the targets of servers.
  while (!from->servers.members().empty()) {
    MoveServer(from->servers.members().front(), into, now);
  }
  std::vector<RequestState*> moved;
  for (const auto& [id, request] : requests_) {
    if (request->pool == from) {
      moved.push_back(request.get());
    }
  }
  // The map's order is not deterministic; the requests must keep their order of
  // arrival.
  std::sort(moved.begin(), moved.end(), [](const auto* a, const auto* b) {
    return std::pair(a->descriptor.arrival, a->descriptor.request) <
           std::pair(b->descriptor.arrival, b->descriptor.request);
  });
  for (RequestState* request : moved) {
    const int tier = request->descriptor.tier.value();
    into->outstanding[tier] += request->expected.value();
    if (request->queued) {
      Dequeue(request);
      request->pool = into;
      Enqueue(request);
    } else {
      request->pool = into;
      into->running_work[tier] += request->work;
      ++into->running[tier];
    }
  }
  for (const auto& [index, queue] : from->classes) {
    into->classes[index].share_ratio = queue.share_ratio;
  }
  for (Pool*& pool : target_pools_) {
    pool = pool == from ? into : pool;
  }
  std::erase_if(pools_, [&](const auto& pool) { return pool.get() == from; });
}

void Scheduler::UpdateSlots(MonoTime now) {
  for (const auto& [id, server] : servers_) {
    server->slots = SlotsOn(*server);
    UpdatePoolOf(server.get(), now);
  }
}

int Scheduler::SlotsOn(const ServerState& server) const {
  const int even_slots = server.capacity / live_vm_count_;
  const int remainder = server.capacity % live_vm_count_;
  const auto rank_on_server = static_cast<int>(
      (ServerIdHash(server.id) + static_cast<uint64_t>(rank_)) %
      static_cast<uint64_t>(live_vm_count_));
  return std::max(1, even_slots + (rank_on_server < remainder ? 1 : 0));
}

void Scheduler::OnPeerDigest(const LoadDigest& digest, MonoTime now) {
  if (digest.vm == settings_.vm) {
    return;
  }
  Peer& peer = peers_[digest.vm];
  // A lower sequence number means a reordered digest, unless the peer was
  // silent: then it may have restarted and counts from 1 again.
  if (digest.sequence <= peer.sequence &&
      now - peer.last_digest_at < TierGate::kPeerTimeout) {
    return;
  }
  peer.sequence = digest.sequence;
  peer.last_digest_at = now;
  for (const LoadDigest::PoolState& state : digest.pools) {
    const auto it = target_indexes_.find(
        std::pair<ServerKind, ModelId>(state.kind, state.target));
    if (it == target_indexes_.end() || target_pools_[it->second] == nullptr) {
      continue;
    }
    Pool* pool = target_pools_[it->second];
    if (pool->gate.OnPeerState(digest.vm, state.tiers, now)) {
      confirmation_due_ = true;
    }
    for (const ClassId& class_id : state.classes_beyond_guarantee) {
      const auto index = classes_.find(class_id);
      if (index == classes_.end()) {
        continue;
      }
      if (const auto entry = pool->classes.find(index->second);
          entry != pool->classes.end()) {
        entry->second.share.SetToMinimum(entry->second.share_ratio *
                                         pool->servers.total_slots());
      }
    }
  }
}

LoadDigest Scheduler::MakeDigest(MonoTime now) const {
  LoadDigest digest;
  digest.vm = settings_.vm;
  for (const std::unique_ptr<Pool>& pool : pools_) {
    LoadDigest::PoolState state;
    state.kind = pool->kind;
    state.target = pool->target;
    pool->gate.FillStates(&state.tiers, now);
    for (int t = 0; t < kTierCount; ++t) {
      state.tiers[t].outstanding = Tokens(pool->outstanding[t]);
      LoadDigest::TierState& sum = digest.tiers[t];
      sum.open = sum.open && state.tiers[t].open;
      sum.overloaded = sum.overloaded || state.tiers[t].overloaded;
      sum.outstanding = sum.outstanding + state.tiers[t].outstanding;
    }
    for (const auto& [index, queue] : pool->classes) {
      if (queue.beyond_guarantee) {
        state.classes_beyond_guarantee.push_back(queue.class_id);
      }
    }
    digest.pools.push_back(std::move(state));
  }
  return digest;
}

void Scheduler::SendDigestIfDue(MonoTime now, Actions* actions) {
  LoadDigest digest = MakeDigest(now);
  if (!confirmation_due_ && SameTierStates(digest, last_digest_) &&
      digest_sequence_ > 0 && now - digest_sent_at_ < kDigestInterval) {
    return;
  }
  confirmation_due_ = false;
  for (const std::unique_ptr<Pool>& pool : pools_) {
    for (auto& [index, queue] : pool->classes) {
      queue.beyond_guarantee = false;
    }
  }
  digest.sequence = ++digest_sequence_;
  digest_sent_at_ = now;
  last_digest_ = digest;
  actions->emplace_back(SendDigestAction{std::move(digest)});
}

}  // namespace camphorsail
